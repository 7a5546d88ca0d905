#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -vet=off -tags review -o target/standins-2 ./review/standins-2
