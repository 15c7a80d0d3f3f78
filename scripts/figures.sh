#!/bin/sh
# Measures the figures of docs/MEASUREMENTS.md in one run of about two minutes. Further arguments go
# to `figures`, for instance `--part latency`.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --workspace --bins
exec target/release/figures "$@"
