#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/pollencroft ] && [ -x target/review-2/bed ] || exit 2
exec target/review-2/bed -case late-submit -program target/pollencroft -record "review/5/record.txt"
