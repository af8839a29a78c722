#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/ledgespread ] || { echo "bin/ledgespread isn't built"; exit 2; }
[ -x bin/review-15 ] || sh review/build-3.sh 15 || exit 2
exec bin/review-15
