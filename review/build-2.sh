#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, with the compiler alone and no
# library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 4 5 6 7 8; do
  case="review/$number/case.rs"
  if [ -f "$case" ]; then
    rustc --edition 2024 -O -A dead_code "$case" -o "target/review-2/case-$number"
  fi
done
