#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
test -x bin/review-3 && test -x bin/ledgespread || { echo "build first: the deploy file's build, then review/build.sh" >&2; exit 2; }
exec bin/review-3 review/3/record.txt
