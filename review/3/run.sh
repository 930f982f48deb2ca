#!/usr/bin/env bash
# Plays the case lasting-done: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out
# the disruption.
cd "$(dirname "$0")/../.." || exit 2
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
[ -x target/review-standin ] && [ -n "$command" ] && [ -x "${command%% *}" ] || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
timeout 110 target/review-standin --case lasting-done --node "$command" --trouble=$trouble --record review/3/record.txt
status=$?
[ $status -le 1 ] || status=2
exit $status
