#!/usr/bin/env bash
# Starts the demo's fleet and points a stock client library (scripts/client/requirements.txt, from PyPI) at it.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --workspace --bins --release --locked
work=$(mktemp -d)
python3 -m venv "$work/venv"
"$work/venv/bin/pip" install --quiet --requirement scripts/client/requirements.txt
mkfifo "$work/stay"
target/release/demo --stay < "$work/stay" > "$work/demo.log" &
demo=$!
exec 9> "$work/stay"
stop() { exec 9>&-; wait "$demo" || true; rm -rf "$work"; }
trap stop EXIT
for _ in $(seq 600); do
  grep -q '^Press Enter' "$work/demo.log" && break
  kill -0 "$demo" 2>/dev/null || { cat "$work/demo.log" >&2; exit 2; }
  sleep 0.1
done
host=$(sed -n 's/.*--hosts \([0-9.:]*\) status/\1/p' "$work/demo.log")
"$work/venv/bin/python" scripts/client/check.py "$host" "${1:-changelogs}" "${2:-indus-support}"
