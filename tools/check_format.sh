#!/usr/bin/env bash
# Fails if a source file is not formatted with clang-format. `--fix` formats the files instead.
set -euo pipefail
cd "$(dirname "$0")/.."

mode=(--dry-run -Werror)
[ "${1:-}" = --fix ] && mode=(-i)
git ls-files -co --exclude-standard '*.cpp' '*.hpp' | xargs -r clang-format "${mode[@]}"
