#!/usr/bin/env bash
# Builds the stand-ins and drivers of the review's cases, with the standard library only. Run after
# the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[0-9]/case.rs; do
  [ -e "$case" ] || continue
  number=$(basename "$(dirname "$case")")
  rustc --edition 2024 -O -A warnings "$case" -o "target/review/case-$number"
done
