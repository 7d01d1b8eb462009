#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
export PYTHONDONTWRITEBYTECODE=1
python3 "$(dirname "$0")/case.py" &
script=$!
# A run that is told to end still ends what it started.
trap 'kill -TERM "$script" 2> /dev/null' TERM INT
wait "$script"
status=$?
while kill -0 "$script" 2> /dev/null; do
    wait "$script"
    status=$?
done
# Python itself ends with 1 where a script cannot run, so a broken rule is 10 there.
case $status in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
