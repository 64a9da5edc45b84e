#!/usr/bin/env bash
# Runs clang-tidy. Needs a configured build directory. Arguments: files (default: all of src, platform,
# examples).
set -euo pipefail
cd "$(dirname "$0")/.."

build=${BUILD_DIR:-build}
jobs=${JOBS:-$(nproc)}
if [ $# -gt 0 ]; then files=("$@"); else mapfile -t files < <(git ls-files -co --exclude-standard 'src/*.cpp' 'platform/*.cpp' 'examples/*.cpp'); fi
printf '%s\0' "${files[@]}" | xargs -0 -r -n 1 -P "$jobs" clang-tidy -p "$build" --quiet 2> >(grep -v 'warnings generated' >&2)
echo "lint: ${#files[@]} files checked"
