#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/support-2 -B target/review-2 -G Ninja
cmake --build target/review-2
