#!/usr/bin/env bash
# Fails if a source file differs from what clang-format writes. `--fix` rewrites the files instead.
set -euo pipefail
cd "$(dirname "$0")/.."

mode=(--dry-run -Werror)
[ "${1:-}" = --fix ] && mode=(-i)
git ls-files -co --exclude-standard '*.cpp' '*.hpp' | xargs -r clang-format "${mode[@]}"
