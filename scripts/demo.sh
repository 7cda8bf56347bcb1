#!/usr/bin/env bash
# Runs both example deployments end to end on loopback: starts every process,
# submits the documents, sends calls, prints answers and a table, and stops
# every process but the control hosts by planned stop.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=$PWD/build
RUN_DIR=$(mktemp -d)
# shellcheck source=scripts/cluster.sh
. scripts/cluster.sh
trap 'kill_all; [ -n "${KEEP:-}" ] || rm -rf "$RUN_DIR"' EXIT

# start_deployment ENVIRONMENT DOCUMENT MODEL SERVICE DOMAINS... starts one
# deployment. It sets ENTRY_ADDRESSES and PROCESS_NAMES, and adds to
# OPERATORS_ADDRESSES.
start_deployment() {
  local env=$1 doc=$2 model=$3 service=$4
  shift 4
  local d=("$@") i
  ENTRY_ADDRESSES=()
  PROCESS_NAMES=()
  for i in 0 1; do
    start_entry "$env-entry-$i" "$env" "${d[i]}"
    ENTRY_ADDRESSES+=("$ENTRY_ADDRESS")
    OPERATORS_ADDRESSES+=("$ENTRY_OPERATORS_ADDRESS")
    PROCESS_NAMES+=("$env-entry-$i")
  done
  for i in 0 1 2 3; do
    start_engine "$env-prefill-$i" "$env" "${d[i % ${#d[@]}]}" Prefill "$model"
    PROCESS_NAMES+=("$env-prefill-$i")
  done
  for i in 0 1 2; do
    start_engine "$env-decode-$i" "$env" "${d[i % ${#d[@]}]}" Decode "$model"
    PROCESS_NAMES+=("$env-decode-$i")
  done
  for i in 0 1; do
    start_service "$env-service-$i" "$env" "${d[i]}" "$service"
    PROCESS_NAMES+=("$env-service-$i")
  done
  operator_tool --environment "$env" document submit "$doc"
  await_members "$env" 11
}

# start_planned_stops ENVIRONMENT NAMES... starts a planned stop of each process
# in the background and adds their process IDs to STOP_PIDS.
start_planned_stops() {
  local env=$1 n
  shift
  for n in "$@"; do
    operator_tool --environment "$env" stop "$n" >"$RUN_DIR/$n.stop" 2>&1 &
    STOP_PIDS+=("$!")
  done
}

OPERATORS_ADDRESSES=()
start_controls control-0 osu control-1 adabraka control-2 legon
sleep 0.3
echo "== processes and documents"
start_deployment archive-trial examples/archive.json summariser request-desk osu adabraka legon
ARCHIVE_PROCESSES=("${PROCESS_NAMES[@]}")
ARCHIVE_ENTRIES=("${ENTRY_ADDRESSES[@]}")
start_deployment qantara-trial examples/qantara.json llm-writers bot-api tunis-a tunis-b tunis-c tunis-d
QANTARA_PROCESSES=("${PROCESS_NAMES[@]}")
QANTARA_ENTRIES=("${ENTRY_ADDRESSES[@]}")
for r in "${OPERATORS_ADDRESSES[@]}"; do await_ready "$r"; done

cat >"$RUN_DIR/archive.plan" <<JSON
{"Deployment": "Archive", "Entries": [$(json_strings "${ARCHIVE_ENTRIES[@]}")], "Seconds": 8,
 "FirstTokenMilliseconds": 330, "BetweenTokensMilliseconds": 29, "PrefillTokensPerSecond": 20000,
 "Streams": [
  {"Name": "summaries", "Key": "reading-room-key", "RatePerSecond": 4, "Model": "summariser", "PromptTokens": [500, 8000], "MaxTokens": 256},
  {"Name": "whole", "Key": "reading-room-key", "RatePerSecond": 1, "Model": "summariser", "PromptTokens": [500, 2000], "MaxTokens": 64, "Whole": true},
  {"Name": "holds", "Key": "reading-room-key", "RatePerSecond": 5, "Method": "POST", "Path": "/services/request-desk/holds", "Keyed": true},
  {"Name": "catalogue", "Key": "catalogue-key", "RatePerSecond": 20, "Method": "GET", "Path": "/services/request-desk/catalogue/deeds"}]}
JSON
cat >"$RUN_DIR/qantara.plan" <<JSON
{"Deployment": "Qantara", "Entries": [$(json_strings "${QANTARA_ENTRIES[@]}")], "Seconds": 8,
 "FirstTokenMilliseconds": 330, "BetweenTokensMilliseconds": 29, "PrefillTokensPerSecond": 20000,
 "Streams": [
  {"Name": "changelogs", "Key": "depbot-key", "RatePerSecond": 6, "Model": "llm-writers", "PromptTokens": [200, 4000], "MaxTokens": 256},
  {"Name": "merges", "Key": "depbot-key", "RatePerSecond": 5, "Method": "POST", "Path": "/services/bot-api/merges", "Keyed": true},
  {"Name": "status", "Key": "ci-key", "RatePerSecond": 30, "Method": "GET", "Path": "/services/bot-api/status/main", "DeadlineMilliseconds": 1000}]}
JSON
echo "== calls"
"$BIN/standin-load" --plan "$RUN_DIR/archive.plan" --seed 1 --show 3 --label '{"Case":"demo","Policy":"reserve"}' >"$RUN_DIR/archive.out" &
LOAD_PID=$!
FAILED=0
"$BIN/standin-load" --plan "$RUN_DIR/qantara.plan" --seed 2 --show 3 --label '{"Case":"demo","Policy":"reserve"}' >"$RUN_DIR/qantara.out" || FAILED=1
wait "$LOAD_PID" || FAILED=1
cat "$RUN_DIR/archive.out" "$RUN_DIR/qantara.out"

echo "== planned stop"
STOP_PIDS=()
start_planned_stops archive-trial "${ARCHIVE_PROCESSES[@]}"
start_planned_stops qantara-trial "${QANTARA_PROCESSES[@]}"
for p in "${STOP_PIDS[@]}"; do wait "$p" || FAILED=1; done
echo "stopped: ${#STOP_PIDS[@]} processes"
[ "$FAILED" -eq 0 ] || { echo "FAILED: a call was lost or a planned stop failed" >&2; exit 1; }
echo "every call got a complete answer or a refusal with a code"
