#!/bin/sh
# Builds the programs of this review's cases, with their stand-ins, into target/review-3.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for folder in review/1[1-5]; do
  if [ -f "$folder/case.cpp" ]; then
    clang++ -std=c++20 -O2 -Wall -Wextra -I. "$folder/case.cpp" -o "target/review-3/case-${folder##*/}" -pthread
  fi
done
