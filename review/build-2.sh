#!/usr/bin/env bash
# Builds the stand-ins of the scripts review/4 to review/8, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/world review/standins-2/world.rs
