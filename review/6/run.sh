#!/usr/bin/env bash
# Odd entries of another writer beside those of all upstreams, then a kill of all processes. Exits with 1 if less than a
# quarter is served later than `recovery_s` after that, 0 if not, 2 if the case could not run. TROUBLE=0: neither.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/odd_entry
[ -x "$program" ] && [ -x target/nutmegturn-node ] || exit 2
timeout --signal=KILL 100 "$program" "review/$(basename "$(dirname "$(readlink -f "$0")")")/record.txt"
status=$?
[ "$status" -le 2 ] || exit 2
exit "$status"
