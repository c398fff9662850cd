#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/drive ] && [ -x target/silverdeck-gateway ] || exit 2
timeout -k 5 115 target/review/drive late review/3/record.txt
rc=$?
[ "$rc" -le 1 ] || rc=2
exit "$rc"
