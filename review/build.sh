#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, with the compiler alone and no library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[0-9]*/case.rs; do
  number="$(basename "$(dirname "$case")")"
  rustc --edition 2024 -O -A dead_code "$case" -o "target/review/case-$number"
done
