#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/tarragongw ] && [ -x target/bin/review-standin ] || exit 2
exec target/bin/review-standin repeated-refusal target/bin/tarragongw review/3/record.txt
