#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Run it after the build of
# the deploy file. The build tag keeps them out of the default test run.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -vet=off -tags review -o target/review-standin ./review/standins
