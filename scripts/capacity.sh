#!/bin/sh
# Measures the slopes of docs/CAPACITY.md, then runs the examples of the parts.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --workspace --bins --examples
# A process for each role, so that memory given back by one is not counted as free for the next.
for role in configuration routing membership claims ledger account admission; do
    target/release/capacity --part states --only "$role"
done
target/release/capacity --part daemons
for example in config_bench route_cost membership_cost; do
    if [ -x "target/release/examples/$example" ]; then
        echo "== $example"
        "target/release/examples/$example"
    fi
done
