#!/bin/sh
# Measures recovery from each kind of fault: scripts/recovery.sh [REPEATS] [PART...]
set -eu
cd "$(dirname "$0")/.."
cargo build -q --release -p roseshored -p roseshore_fakes -p roseshore_harness --bins
uptime
target=${CARGO_TARGET_DIR:-target}
"$target/release/recovery" "$@"
uptime
