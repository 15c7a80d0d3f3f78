#!/usr/bin/env bash
# A soak of real daemons under faults drawn from seeds.
#   scripts/soak.sh [--seed N] [--seeds N] [--minutes M] [--size HOSTS] [--kind faults|silence|services|stops|links|engines|retries|scarce|parts|all]
# Each seed runs with all faults, with frozen targets and changes of the configuration, with whole services frozen,
# with hosts that are stopped in turn, with silent links to engines, with frozen engines, and with engines that fail a
# part of their requests beside frozen engines and disturbed hosts, with many and with too few retries, with requests
# whose prompts have a part that crashes engines, or with one of these.
# ROSESHORE_SOAK_KEEP=1 keeps the logs of seeds that pass as well.
# --minutes is the time of faults of each seed. A seed that fails prints its own command and where its logs are.
set -euo pipefail
cd "$(dirname "$0")/.."
usage() {
  sed -n '3,9p' "$0" >&2
  exit 2
}
seed=1 seeds=1 seconds=12 hosts=4 kind=all
while [ $# -gt 0 ]; do
  [ $# -ge 2 ] || usage
  case "$1" in
    --seed) seed=$2 ;;
    --seeds) seeds=$2 ;;
    --minutes) seconds=$(($2 * 60)) ;;
    --size) hosts=$2 ;;
    --kind) kind=$2 ;;
    *) usage ;;
  esac
  shift 2
done
case "$kind" in
  faults) tests=promises_are_kept_under_seeded_faults ;;
  silence) tests=promises_are_kept_while_targets_are_silent ;;
  services) tests=promises_are_kept_while_services_are_frozen ;;
  engines) tests=promises_are_kept_while_engines_are_frozen ;;
  retries) tests=promises_are_kept_while_engines_fail_requests ;;
  scarce) tests=promises_are_kept_while_retries_are_scarce ;;
  parts) tests=promises_are_kept_while_a_part_of_prompts_crashes_engines ;;
  links) tests=promises_are_kept_while_links_are_silent ;;
  stops) tests=promises_are_kept_while_hosts_are_stopped ;;
  all) tests=promises_are_kept ;;
  *) usage ;;
esac
cargo build --workspace --bins --locked
ROSESHORE_SOAK_SEED=$seed ROSESHORE_SOAK_SEEDS=$seeds ROSESHORE_SOAK_SECONDS=$seconds ROSESHORE_SOAK_HOSTS=$hosts \
  cargo test -p roseshore_platform --locked --test soak "$tests" -- --nocapture
