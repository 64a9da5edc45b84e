#!/usr/bin/env bash
# Builds and runs the benchmark in virtual time. `--case NAME`, `--policy NAME`, `--deployment NAME` and
# `--seed N` narrow it down, `--service-ms N` sets the mean service time, `--without MECHANISM` switches a
# part of our policy off; without a seed the figures are pooled over the seeds for reporting.
set -euo pipefail
cd "$(dirname "$0")/.."

build=${BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja > /dev/null
cmake --build "$build" --target cornelpier-bench > /dev/null
exec "$build/bench/cornelpier-bench" "$@"
