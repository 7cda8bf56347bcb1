#!/usr/bin/env bash
# The slopes behind docs/CAPACITY.md: three control hosts, one real entry and one real
# agent with an endpoint, and stand-ins for MEMBERS further processes; then
# documents of CALLERS accounts. A JSON line for each step goes to OUT.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=$PWD/build
OUT=${OUT:-$BIN/capacity.jsonl}
MEMBERS=${MEMBERS:-50 200 800}
CALLERS=${CALLERS:-2600 26000}
# shellcheck source=scripts/cluster.sh
. scripts/cluster.sh
RUN=$(mktemp -d)
trap 'kill_all; rm -rf "$RUN"' EXIT
: >"$OUT"

# await_port PORT waits until somebody listens on it.
await_port() {
  for _ in $(seq 100); do
    (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null && return 0
    sleep 0.05
  done
  return 1
}

# measure MEMBERS CALLERS runs one size from empty processes.
measure() {
  PIDS=()
  CONTROLS=()
  rm -rf "${RUN:?}"/*
  start_controls control-0 a control-1 b control-2 c
  await_port "${CONTROLS[2]##*:}"
  sleep 2
  start_entry entry-0 capacity a
  start_engine decode-0 capacity a Decode m
  sleep 1
  "$BIN/standin-members" --controls "$(IFS=,; echo "${CONTROLS[*]}")" --members "$1" --callers "$2" \
    --processes "control-0=${PIDS[0]},control-1=${PIDS[1]},control-2=${PIDS[2]},entry=${PIDS[3]},agent=${PIDS[4]}" | tee -a "$OUT"
  kill_all || true
}

for m in $MEMBERS; do measure "$m" 260; done
for c in $CALLERS; do measure 50 "$c"; done
