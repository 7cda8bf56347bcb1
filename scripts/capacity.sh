#!/usr/bin/env bash
# Measures how cost grows with the number of member processes and of callers,
# for docs/CAPACITY.md: three control hosts, one real entry, one real agent with
# an engine, and MEMBERS simulated processes; then documents of CALLERS callers
# with 50 simulated processes. Each step adds a JSON line to OUT.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=$PWD/build
OUT=${OUT:-$BIN/capacity.jsonl}
MEMBERS=${MEMBERS:-50 200 800}
CALLERS=${CALLERS:-2600 26000}
# shellcheck source=scripts/cluster.sh
. scripts/cluster.sh
RUN_DIR=$(mktemp -d)
trap 'kill_all; rm -rf "$RUN_DIR"' EXIT
: >"$OUT"

# await_port PORT waits until a process listens on it, for at most 100 tries.
await_port() {
  for _ in $(seq 100); do
    (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null && return 0
    sleep 0.05
  done
  return 1
}

# measure_size MEMBERS CALLERS measures one size with new processes and no data.
measure_size() {
  PIDS=()
  CONTROL_ADDRESSES=()
  rm -rf "${RUN_DIR:?}"/*
  start_controls control-0 a control-1 b control-2 c
  await_port "${CONTROL_ADDRESSES[2]##*:}"
  sleep 2
  start_entry entry-0 capacity a
  start_engine decode-0 capacity a Decode m
  sleep 1
  "$BIN/standin-members" --controls "$(IFS=,; echo "${CONTROL_ADDRESSES[*]}")" --members "$1" --callers "$2" \
    --processes "control-0=${PIDS[0]},control-1=${PIDS[1]},control-2=${PIDS[2]},entry=${PIDS[3]},agent=${PIDS[4]}" | tee -a "$OUT"
  kill_all || true
}

for m in $MEMBERS; do measure_size "$m" 260; done
for c in $CALLERS; do measure_size 50 "$c"; done
