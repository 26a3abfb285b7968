#!/usr/bin/env bash
# Runs case 10; exits with 1 if the rule was broken, 0 if it held, and 2 if it could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/aspenline target/review-2/case-10; do
  [ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
exec target/review-2/case-10
