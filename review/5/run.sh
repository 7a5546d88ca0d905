#!/usr/bin/env bash
# Plays the case once. Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-standin ] || [ ! -x target/lacewingslipd ]; then
  echo "run the build of the deploy file and review/build.sh first" >&2
  exit 2
fi
exec target/review-standin cut review/5
