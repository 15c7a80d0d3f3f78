#!/usr/bin/env bash
# Builds everything, starts a declared fleet as separate processes, shows that it serves and outlives a lost
# stage, and stops it. `--stay` leaves it up until Enter; `--fleet PATH` takes another fleet.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --workspace --bins --release --locked
exec target/release/demo "$@"
