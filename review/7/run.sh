#!/usr/bin/env bash
# Loses a minion and restarts the owners of its pool in turn: exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. TROUBLE=0 leaves out the restarts.
cd "$(dirname "$0")/../.." || exit 2
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
[ -x target/review-standin-2 ] && [ -n "$command" ] && [ -x "${command%% *}" ] || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
timeout 110 target/review-standin-2 --node "$command" --trouble=$trouble --record review/7/record.txt
status=$?
[ $status -le 1 ] || status=2
exit $status
