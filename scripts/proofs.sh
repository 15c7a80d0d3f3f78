#!/usr/bin/env bash
# Runs the tests crate by crate and prints the matrix of proofs with their verdicts.
set -uo pipefail
cd "$(dirname "$0")/.."
out=$(mktemp)
trap 'rm -f "$out"' EXIT
cargo build --workspace --bins --quiet || exit 2
for folder in crates/*/tests; do
  name=$(basename "$(dirname "$folder")")
  echo "== crate $name" >> "$out"
  cargo test -p "$name" --tests --no-fail-fast >> "$out" 2>&1
done
cargo run --quiet -p roseshore_bench --bin proofs -- --results "$out"
