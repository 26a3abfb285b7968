#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10, which hold their stand-ins, with the compiler alone. Run in the repository.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[6-9]/case.rs review/10/case.rs; do
  [ -f "$source" ] || continue
  case=$(basename "$(dirname "$source")")
  rustc --edition 2024 -O -o "target/review-2/case-$case" "$source"
done
