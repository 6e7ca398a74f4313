#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/1/driver ] || exit 2
timeout -k 5 115 review/1/driver review/1/record.txt
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
