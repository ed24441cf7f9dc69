#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves out the disruption. Exit: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
export TROUBLE=${TROUBLE:-1}
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/nutmegturn-node ] && [ -x review/standin/build/review-standins ] || exit 2
exec review/standin/build/review-standins fraction "$here/record.txt"
