#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.."
[ -x target/review-standin ] && [ -x target/shallotstage-host ] || exit 2
exec target/review-standin key-moved review/4/record.txt "${TROUBLE:-1}"
