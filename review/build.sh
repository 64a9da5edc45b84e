#!/usr/bin/env bash
# Builds the programs of the cases into target/review/. Each contains its stand-ins.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cpp; do
  number=$(basename "$(dirname "$source")")
  clang++ -O1 -std=c++20 -pthread "$source" -o "target/review/case-$number"
done
