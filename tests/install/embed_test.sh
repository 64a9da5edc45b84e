#!/usr/bin/env bash
# Guards against installed headers or exports that only work inside this tree: installs the library into an
# empty prefix and builds and runs the example against it with both compilers.
set -euo pipefail
build=$1
source_directory=$2
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

cmake --install "$build" --prefix "$work/prefix" > "$work/install.log"
for compiler in g++ clang++; do
  cmake -S "$source_directory/examples/embed" -B "$work/$compiler" -G Ninja -DCMAKE_CXX_COMPILER="$compiler" \
    -DCMAKE_CXX_STANDARD=20 -DCMAKE_PREFIX_PATH="$work/prefix" > "$work/$compiler.log"
  cmake --build "$work/$compiler" >> "$work/$compiler.log" || { cat "$work/$compiler.log"; exit 1; }
  output=$("$work/$compiler/embed")
  echo "$compiler: $output"
  [ "$output" = "200 ran hello from /world" ]
done
