#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-2 ] && [ -x target/platform/cornelpier-sidecar ] || exit 2
timeout --kill-after=2 112 target/review/case-2
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
