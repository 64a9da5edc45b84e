#!/usr/bin/env bash
# Runs the script of one case: run_case.sh NUMBER
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. The program of the case starts
# the nodes and stand-ins, and ends them; they also end if it ends early.
number=$1
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/case-$number
sidecar=target/platform/cornelpier-sidecar
if [ ! -x "$program" ] || [ ! -x "$sidecar" ]; then
  echo "build first: the command of deploy/system.toml, then review/build-2.sh" >&2
  exit 2
fi
directory=$(mktemp -d) || exit 2
trap 'rm -rf "$directory"' EXIT
timeout --signal=KILL 115 "$program" "$sidecar" "$directory" "review/$number/record.txt"
status=$?
[ "$status" -le 2 ] && exit "$status"
exit 2
