#!/usr/bin/env bash
# Builds the benchmark and runs it in virtual time. `--case NAME`, `--policy NAME`, `--deployment NAME` and
# `--seed N` select what to run, `--service-ms N` sets the mean service time, and `--without MECHANISM`
# disables a mechanism of policy `ours`. Without `--seed`, results are pooled over the seeds for reported
# results.
set -euo pipefail
cd "$(dirname "$0")/.."

build=${BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja > /dev/null
cmake --build "$build" --target cornelpier-bench > /dev/null
exec "$build/bench/cornelpier-bench" "$@"
