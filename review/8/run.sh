#!/usr/bin/env bash
# An empty `node_name` in the settings of all processes. Exits with 1 if the programs do not start, 0 if they do, 2 if the
# case could not run. TROUBLE=0: the key holds a name.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/empty_name
[ -x "$program" ] && [ -x target/nutmegturn-node ] || exit 2
timeout --signal=KILL 100 "$program" "review/$(basename "$(dirname "$(readlink -f "$0")")")/record.txt"
status=$?
[ "$status" -le 2 ] || exit 2
exit "$status"
