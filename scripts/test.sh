#!/usr/bin/env bash
# Runs every test. Tests named in KNOWN-RED.txt (`name  cause  issue`, tab-separated) are passed over and printed: just
# these, not others whose names begin so.
set -euo pipefail
cd "$(dirname "$0")/.."
skip=()
if [ -s KNOWN-RED.txt ]; then
  echo "known red, passed over:"
  cat KNOWN-RED.txt
  while IFS=$'\t' read -r name _; do
    [ -z "$name" ] || skip+=(--skip "$name")
  done < KNOWN-RED.txt
fi
cargo build --workspace --bins --locked
cargo test --workspace --locked -- --exact "${skip[@]}"
