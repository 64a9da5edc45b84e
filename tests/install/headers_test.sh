#!/usr/bin/env bash
# Guards against public headers that need another header first, or that pull in libraries which g++ cannot
# compile in C++20 mode: compiles every header of the core alone with both compilers.
set -euo pipefail
cd "$1/src"
if grep -rlE '#include <(websocketpp|boost/msm)' --include='*.hpp' cornelpier; then
  echo "a public header includes websocketpp or Boost.MSM" >&2
  exit 1
fi
check() { echo "#include \"$2\"" | "$1" -std=c++20 -Wall -Wextra -Werror -fsyntax-only -I. -x c++ - || echo "$1: $2"; }
export -f check
failures=$(for compiler in g++ clang++; do
  find cornelpier -name '*.hpp' -print0 | sort -z | xargs -0 -P 8 -I{} bash -c 'check "$@"' _ "$compiler" {} 2>&1
done)
[ -z "$failures" ] || { echo "$failures"; exit 1; }
