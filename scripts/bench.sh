#!/usr/bin/env bash
# The policy under load and faults, on loopback: real processes, stand-in
# engines and an open-loop load. CASE, DEPLOYMENT, POLICY and SEED choose one
# run; a name that is not set runs all of its values. Each run prints a table
# and one JSON line; RESULTS is a file to which the lines are added.
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
WARMUP=3
COOLDOWN=1
PREFILL_SPEED=20000
PIECE_TOKENS=2000
STEP=15000
STEP_PER_REQUEST=300
LINK=10000000000
BYTES_PER_TOKEN=100000

# deployment NAME sets the sizes and the mix of a deployment: about twenty
# requests in the memory of a decode engine.
deployment() {
  case $1 in
  Archive)
    ENVIRONMENT=archive-trial DOCUMENT=examples/archive.json MODEL=summariser SERVICE=request-desk
    DOMAINS=(osu adabraka legon) PREFILLS=15 DECODES=5 SERVICES=3 PIECES=56 PROMPTS="[500, 8000]"
    KEY=reading-room-key LOOKUP_KEY=catalogue-key BOOKING=holds LOOKUP=catalogue/deeds LOOKUP_RATE=20 DEADLINE=2000 ;;
  Qantara)
    ENVIRONMENT=qantara-trial DOCUMENT=examples/qantara.json MODEL=llm-writers SERVICE=bot-api
    DOMAINS=(tunis-a tunis-b tunis-c tunis-d) PREFILLS=12 DECODES=8 SERVICES=4 PIECES=36 PROMPTS="[200, 4000]"
    KEY=depbot-key LOOKUP_KEY=ci-key BOOKING=merges LOOKUP=status/main LOOKUP_RATE=30 DEADLINE=1000 ;;
  *) echo "no deployment $1" >&2; exit 2 ;;
  esac
}

# cases NAME sets what a case changes.
cases() {
  SHARE=1.0 CANCEL=0 STALL=0 DEATHS=0 SHARED=0 BURST="" LOOKUPS=1 RATE=0 OUTPUT=256
  case $1 in
  *-faults) CANCEL=5 STALL=2 DEATHS=1 SHARE=${1%-faults} ;;
  burst)
    SHARE=0.7
    BURST=", {\"Name\": \"burst\", \"Key\": \"$KEY\", \"Model\": \"$MODEL\", \"PromptTokens\": $PROMPTS, \"MaxTokens\": 256, \"CapacityShare\": 1.3, \"FromSeconds\": 6, \"ToSeconds\": 8}" ;;
  hot-prefix) SHARED=60 ;;
  lookups) LOOKUPS=10 ;;
  direct)
    RATE=50 PROMPTS="[100, 100]" OUTPUT=16
    BURST=", {\"Name\": \"direct\", \"Direct\": true, \"Model\": \"$MODEL\", \"PromptTokens\": $PROMPTS, \"MaxTokens\": 16, \"RatePerSecond\": 50}" ;;
  *) SHARE=$1 ;;
  esac
}

domain() { echo "${DOMAINS[$1 % ${#DOMAINS[@]}]}"; }

start_all() {
  local i speed="\"PieceTokens\": $PIECE_TOKENS, \"PrefillTokensPerSecond\": $PREFILL_SPEED,
    \"StepMicroseconds\": $STEP, \"StepPerRequestMicroseconds\": $STEP_PER_REQUEST, \"LinkBytesPerSecond\": $LINK,
    \"BytesPerToken\": $BYTES_PER_TOKEN, \"MemoryPieces\": $PIECES, \"StallPercent\": $STALL"
  PIDS=() CONTROLS=() ENTRIES=() ENGINES=() DECODERS=() ROUTER=() READY=()
  start_control control-0 "$(domain 0)"
  sleep 0.3
  for i in 0 1; do
    start_entry "entry-$i" "$ENVIRONMENT" "$(domain "$i")" "$1"
    ENTRIES+=("$ENTRY") READY+=("$ENTRY_OPERATORS") ROUTER+=("${PIDS[-1]}")
  done
  for i in $(seq "$PREFILLS"); do
    start_engine "prefill-$i" "$ENVIRONMENT" "$(domain "$i")" Prefill "$MODEL" ", $speed"
    ENGINES+=("127.0.0.1:$PORT") ROUTER+=("${PIDS[-2]}")
  done
  for i in $(seq "$DECODES" -1 1); do
    start_engine "decode-$i" "$ENVIRONMENT" "$(domain "$i")" Decode "$MODEL" ", $speed"
    DECODERS+=("127.0.0.1:$PORT") ROUTER+=("${PIDS[-2]}") VICTIM=${PIDS[-1]}
  done
  for i in $(seq "$SERVICES"); do start_service "service-$i" "$ENVIRONMENT" "$(domain "$i")" "$SERVICE"; done
  sed "s/\"Prefill\": [0-9]*/\"Prefill\": $PREFILLS/; s/\"Decode\": [0-9]*/\"Decode\": $DECODES/" "$DOCUMENT" >"$RUN/document"
  tool --environment "$ENVIRONMENT" document submit "$RUN/document" >"$RUN/submit.out"
  await_members "$ENVIRONMENT" $((PREFILLS + DECODES + SERVICES + 2))
  for i in "${READY[@]}"; do await_ready "$i"; done
}

plan() {
  local IFS=,
  cat >"$RUN/plan" <<JSON
{"Deployment": "$1", "Entries": [$(quoted "${ENTRIES[@]}")], "PrefillEngines": [$(quoted "${ENGINES[@]}")],
 "DecodeEngines": [$(quoted "${DECODERS[@]}")],
 "RouterProcesses": [${ROUTER[*]}], "Seconds": $SECONDS_SENT, "WarmupSeconds": $WARMUP, "CooldownSeconds": $COOLDOWN,
 "Capacity": {"PrefillEngines": $PREFILLS, "DecodeEngines": $DECODES, "PrefillTokensPerSecond": $PREFILL_SPEED,
  "MemoryPieces": $PIECES, "PieceTokens": $PIECE_TOKENS, "StepMicroseconds": $STEP,
  "StepPerRequestMicroseconds": $STEP_PER_REQUEST, "LinkBytesPerSecond": $LINK, "BytesPerToken": $BYTES_PER_TOKEN},
 "FirstTokenMilliseconds": 330, "BetweenTokensMilliseconds": 29, "PrefillTokensPerSecond": $PREFILL_SPEED,
 "CancelPercent": $CANCEL, "GiveUpSeconds": 30,
 "Streams": [
  {"Name": "answers", "Key": "$KEY", "CapacityShare": $SHARE, "RatePerSecond": $RATE, "Model": "$MODEL", "PromptTokens": $PROMPTS,
   "MaxTokens": $OUTPUT, "SharedPercent": $SHARED, "SharedTokens": 1000},
  {"Name": "bookings", "Key": "$KEY", "RatePerSecond": 5, "Method": "POST", "Path": "/services/$SERVICE/$BOOKING", "Keyed": true},
  {"Name": "lookups", "Key": "$LOOKUP_KEY", "RatePerSecond": $((LOOKUP_RATE * LOOKUPS)), "Method": "GET",
   "Path": "/services/$SERVICE/$LOOKUP", "DeadlineMilliseconds": $DEADLINE}$BURST]}
JSON
}

# kill_decode ends one decode engine in mid-run and starts it again, as its
# supervisor would.
kill_decode() {
  local pid=$1
  sleep $((SECONDS_SENT / 2))
  kill -9 "$pid" 2>/dev/null
  sleep 1
  exec "$BIN/standin-engine" --settings "$RUN/decode-1.engine.json" >"$RUN/decode-1.engine.log.2" 2>&1
}

# run_one CASE DEPLOYMENT POLICY SEED
run_one() {
  RUN=$(mktemp -d)
  deployment "$2"
  cases "$1"
  start_all "$3"
  plan "$2"
  if [ "$DEATHS" -gt 0 ]; then
    kill_decode "$VICTIM" &
    PIDS+=("$!")
  fi
  "$BIN/standin-load" --plan "$RUN/plan" --seed "$4" \
    --label "{\"Case\":\"$1\",\"Policy\":\"$3\"}" >"$RUN/out" || echo "calls were lost" >&2
  kill_all
  cat "$RUN/out"
  tail -1 "$RUN/out" >>"$RESULTS"
  [ -n "${KEEP:-}" ] || rm -rf "$RUN"
}

trap 'kill_all; [ -n "${KEEP:-}" ] || rm -rf "$RUN"' EXIT
for c in $CASES; do
  for d in $DEPLOYMENTS; do
    for p in $POLICIES; do
      for s in $SEEDS_RUN; do run_one "$c" "$d" "$p" "$s"; done
    done
  done
done
