#!/usr/bin/env bash
# Measures the placement policies under load and faults on loopback, with real
# processes, stand-in engines and an open-loop load. CASE, DEPLOYMENT, POLICY and
# SEED select the runs; a variable that is not set selects all its values. Each
# run prints a table and a JSON line, which is also appended to the file RESULTS.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=${BIN:-$PWD/build}
# shellcheck source=scripts/cluster.sh
. scripts/cluster.sh

CASES=${CASE:-0.7 1.0 1.3 0.7-faults 1.0-faults 1.3-faults burst hot-prefix lookups direct}
DEPLOYMENTS=${DEPLOYMENT:-Archive Qantara}
POLICIES=${POLICY:-reserve round-robin least-loaded}
SEEDS_RUN=${SEED:-1 2 3}
RESULTS=${RESULTS:-/dev/null}
SECONDS_SENT=${SECONDS_SENT:-18}
WARMUP_SECONDS=3
COOLDOWN_SECONDS=1
PREFILL_TOKENS_PER_SECOND=20000
PIECE_TOKENS=2000
STEP_MICROSECONDS=15000
STEP_PER_REQUEST_MICROSECONDS=300
LINK_BYTES_PER_SECOND=10000000000
BYTES_PER_TOKEN=100000

# set_deployment NAME sets the sizes and the traffic of a deployment. The memory
# of a decode engine holds about twenty requests.
set_deployment() {
  case $1 in
  Archive)
    ENVIRONMENT=archive-trial DOCUMENT=examples/archive.json MODEL=summariser SERVICE=request-desk
    DOMAINS=(osu adabraka legon) PREFILL_ENGINES=15 DECODE_ENGINES=5 SERVICE_INSTANCES=3 MEMORY_PIECES=56 PROMPT_TOKENS="[500, 8000]"
    CALLER_KEY=reading-room-key LOOKUP_KEY=catalogue-key BOOKING_PATH=holds LOOKUP_PATH=catalogue/deeds LOOKUP_RATE=20 LOOKUP_DEADLINE_MILLISECONDS=2000 ;;
  Qantara)
    ENVIRONMENT=qantara-trial DOCUMENT=examples/qantara.json MODEL=llm-writers SERVICE=bot-api
    DOMAINS=(tunis-a tunis-b tunis-c tunis-d) PREFILL_ENGINES=12 DECODE_ENGINES=8 SERVICE_INSTANCES=4 MEMORY_PIECES=36 PROMPT_TOKENS="[200, 4000]"
    CALLER_KEY=depbot-key LOOKUP_KEY=ci-key BOOKING_PATH=merges LOOKUP_PATH=status/main LOOKUP_RATE=30 LOOKUP_DEADLINE_MILLISECONDS=1000 ;;
  *) echo "unknown deployment $1: expected Archive or Qantara" >&2; exit 2 ;;
  esac
}

# set_case NAME sets the load and the faults of a case.
set_case() {
  CAPACITY_SHARE=1.0 CANCEL_PERCENT=0 STALL_PERCENT=0 KILL_DECODE_ENGINE=0 SHARED_PERCENT=0 EXTRA_STREAM="" LOOKUP_RATE_FACTOR=1 ANSWER_RATE=0 MAX_TOKENS=256
  case $1 in
  *-faults) CANCEL_PERCENT=5 STALL_PERCENT=2 KILL_DECODE_ENGINE=1 CAPACITY_SHARE=${1%-faults} ;;
  burst)
    CAPACITY_SHARE=0.7
    EXTRA_STREAM=", {\"Name\": \"burst\", \"Key\": \"$CALLER_KEY\", \"Model\": \"$MODEL\", \"PromptTokens\": $PROMPT_TOKENS, \"MaxTokens\": 256, \"CapacityShare\": 1.3, \"FromSeconds\": 6, \"ToSeconds\": 8}" ;;
  hot-prefix) SHARED_PERCENT=60 ;;
  lookups) LOOKUP_RATE_FACTOR=10 ;;
  direct)
    ANSWER_RATE=50 PROMPT_TOKENS="[100, 100]" MAX_TOKENS=16
    EXTRA_STREAM=", {\"Name\": \"direct\", \"Direct\": true, \"Model\": \"$MODEL\", \"PromptTokens\": $PROMPT_TOKENS, \"MaxTokens\": 16, \"RatePerSecond\": 50}" ;;
  *) CAPACITY_SHARE=$1 ;;
  esac
}

# domain N prints the failure domain of the N-th process of a kind.
domain() { echo "${DOMAINS[$1 % ${#DOMAINS[@]}]}"; }

# start_deployment POLICY starts all processes, submits the document and waits
# until the entries are ready.
start_deployment() {
  local i speed="\"PieceTokens\": $PIECE_TOKENS, \"PrefillTokensPerSecond\": $PREFILL_TOKENS_PER_SECOND,
    \"StepMicroseconds\": $STEP_MICROSECONDS, \"StepPerRequestMicroseconds\": $STEP_PER_REQUEST_MICROSECONDS, \"LinkBytesPerSecond\": $LINK_BYTES_PER_SECOND,
    \"BytesPerToken\": $BYTES_PER_TOKEN, \"MemoryPieces\": $MEMORY_PIECES, \"StallPercent\": $STALL_PERCENT"
  PIDS=() CONTROL_ADDRESSES=() ENTRY_ADDRESSES=() PREFILL_ADDRESSES=() DECODE_ADDRESSES=() ROUTER_PIDS=() OPERATORS_ADDRESSES=()
  start_control control-0 "$(domain 0)"
  sleep 0.3
  for i in 0 1; do
    start_entry "entry-$i" "$ENVIRONMENT" "$(domain "$i")" "$1"
    ENTRY_ADDRESSES+=("$ENTRY_ADDRESS") OPERATORS_ADDRESSES+=("$ENTRY_OPERATORS_ADDRESS") ROUTER_PIDS+=("${PIDS[-1]}")
  done
  for i in $(seq "$PREFILL_ENGINES"); do
    start_engine "prefill-$i" "$ENVIRONMENT" "$(domain "$i")" Prefill "$MODEL" ", $speed"
    PREFILL_ADDRESSES+=("127.0.0.1:$PORT") ROUTER_PIDS+=("${PIDS[-2]}")
  done
  for i in $(seq "$DECODE_ENGINES" -1 1); do
    start_engine "decode-$i" "$ENVIRONMENT" "$(domain "$i")" Decode "$MODEL" ", $speed"
    DECODE_ADDRESSES+=("127.0.0.1:$PORT") ROUTER_PIDS+=("${PIDS[-2]}") KILLED_ENGINE_PID=${PIDS[-1]}
  done
  for i in $(seq "$SERVICE_INSTANCES"); do start_service "service-$i" "$ENVIRONMENT" "$(domain "$i")" "$SERVICE"; done
  sed "s/\"Prefill\": [0-9]*/\"Prefill\": $PREFILL_ENGINES/; s/\"Decode\": [0-9]*/\"Decode\": $DECODE_ENGINES/" "$DOCUMENT" >"$RUN_DIR/document"
  operator_tool --environment "$ENVIRONMENT" document submit "$RUN_DIR/document" >"$RUN_DIR/submit.out"
  await_members "$ENVIRONMENT" $((PREFILL_ENGINES + DECODE_ENGINES + SERVICE_INSTANCES + 2))
  for i in "${OPERATORS_ADDRESSES[@]}"; do await_ready "$i"; done
}

# write_plan DEPLOYMENT writes the plan that the load generator runs.
write_plan() {
  local IFS=,
  cat >"$RUN_DIR/plan" <<JSON
{"Deployment": "$1", "Entries": [$(json_strings "${ENTRY_ADDRESSES[@]}")], "PrefillEngines": [$(json_strings "${PREFILL_ADDRESSES[@]}")],
 "DecodeEngines": [$(json_strings "${DECODE_ADDRESSES[@]}")],
 "RouterProcesses": [${ROUTER_PIDS[*]}], "Seconds": $SECONDS_SENT, "WarmupSeconds": $WARMUP_SECONDS, "CooldownSeconds": $COOLDOWN_SECONDS,
 "Capacity": {"PrefillEngines": $PREFILL_ENGINES, "DecodeEngines": $DECODE_ENGINES, "PrefillTokensPerSecond": $PREFILL_TOKENS_PER_SECOND,
  "MemoryPieces": $MEMORY_PIECES, "PieceTokens": $PIECE_TOKENS, "StepMicroseconds": $STEP_MICROSECONDS,
  "StepPerRequestMicroseconds": $STEP_PER_REQUEST_MICROSECONDS, "LinkBytesPerSecond": $LINK_BYTES_PER_SECOND, "BytesPerToken": $BYTES_PER_TOKEN},
 "FirstTokenMilliseconds": 330, "BetweenTokensMilliseconds": 29, "PrefillTokensPerSecond": $PREFILL_TOKENS_PER_SECOND,
 "CancelPercent": $CANCEL_PERCENT, "GiveUpSeconds": 30,
 "Streams": [
  {"Name": "answers", "Key": "$CALLER_KEY", "CapacityShare": $CAPACITY_SHARE, "RatePerSecond": $ANSWER_RATE, "Model": "$MODEL", "PromptTokens": $PROMPT_TOKENS,
   "MaxTokens": $MAX_TOKENS, "SharedPercent": $SHARED_PERCENT, "SharedTokens": 1000},
  {"Name": "bookings", "Key": "$CALLER_KEY", "RatePerSecond": 5, "Method": "POST", "Path": "/services/$SERVICE/$BOOKING_PATH", "Keyed": true},
  {"Name": "lookups", "Key": "$LOOKUP_KEY", "RatePerSecond": $((LOOKUP_RATE * LOOKUP_RATE_FACTOR)), "Method": "GET",
   "Path": "/services/$SERVICE/$LOOKUP_PATH", "DeadlineMilliseconds": $LOOKUP_DEADLINE_MILLISECONDS}$EXTRA_STREAM]}
JSON
}

# restart_decode_engine PID kills the engine of decode-1 in the middle of the run
# and starts it again after a second, as its supervisor would.
restart_decode_engine() {
  local pid=$1
  sleep $((SECONDS_SENT / 2))
  kill -9 "$pid" 2>/dev/null
  sleep 1
  exec "$BIN/standin-engine" --settings "$RUN_DIR/decode-1.engine.json" >"$RUN_DIR/decode-1.engine.log.2" 2>&1
}

# run_one CASE DEPLOYMENT POLICY SEED runs one measurement.
run_one() {
  RUN_DIR=$(mktemp -d)
  set_deployment "$2"
  set_case "$1"
  start_deployment "$3"
  write_plan "$2"
  if [ "$KILL_DECODE_ENGINE" -gt 0 ]; then
    restart_decode_engine "$KILLED_ENGINE_PID" &
    PIDS+=("$!")
  fi
  "$BIN/standin-load" --plan "$RUN_DIR/plan" --seed "$4" \
    --label "{\"Case\":\"$1\",\"Policy\":\"$3\"}" >"$RUN_DIR/out" || echo "the load failed or lost calls" >&2
  kill_all
  cat "$RUN_DIR/out"
  tail -1 "$RUN_DIR/out" >>"$RESULTS"
  [ -n "${KEEP:-}" ] || rm -rf "$RUN_DIR"
}

trap 'kill_all; [ -n "${KEEP:-}" ] || rm -rf "$RUN_DIR"' EXIT
for c in $CASES; do
  for d in $DEPLOYMENTS; do
    for p in $POLICIES; do
      for s in $SEEDS_RUN; do run_one "$c" "$d" "$p" "$s"; done
    done
  done
done
