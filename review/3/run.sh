#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
bash review/build.sh || exit 2
node review/3/run.mjs &
child=$!
trap 'kill -TERM $child' TERM INT HUP
wait $child
code=$?
# Any other code, as that of a program that could not be loaded, says nothing about the rule.
case $code in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
