#!/usr/bin/env bash
# The whole path on loopback for both example deployments: starts every
# process, submits the documents, sends real calls, prints the answers and a
# table, and ends everything by planned stop.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=$PWD/build
RUN=$(mktemp -d)
# shellcheck source=scripts/cluster.sh
. scripts/cluster.sh
trap 'kill_all; [ -n "${KEEP:-}" ] || rm -rf "$RUN"' EXIT

# deploy ENVIRONMENT DOCUMENT MODEL SERVICE DOMAINS... starts one deployment
# and sets ENTRIES and STOPS.
deploy() {
  local env=$1 doc=$2 model=$3 service=$4
  shift 4
  local d=("$@") i
  ENTRIES=()
  STOPS=()
  for i in 0 1; do
    start_entry "$env-entry-$i" "$env" "${d[i]}"
    ENTRIES+=("$ENTRY")
    READY+=("$ENTRY_OPERATORS")
    STOPS+=("$env-entry-$i")
  done
  for i in 0 1 2 3; do
    start_engine "$env-prefill-$i" "$env" "${d[i % ${#d[@]}]}" Prefill "$model"
    STOPS+=("$env-prefill-$i")
  done
  for i in 0 1 2; do
    start_engine "$env-decode-$i" "$env" "${d[i % ${#d[@]}]}" Decode "$model"
    STOPS+=("$env-decode-$i")
  done
  for i in 0 1; do
    start_service "$env-service-$i" "$env" "${d[i]}" "$service"
    STOPS+=("$env-service-$i")
  done
  tool --environment "$env" document submit "$doc"
  await_members "$env" 11
}

# stop_all ENVIRONMENT NAMES... ends a deployment by planned stop.
stop_all() {
  local env=$1 n
  shift
  for n in "$@"; do
    tool --environment "$env" stop "$n" >"$RUN/$n.stop" 2>&1 &
    STOPPING+=("$!")
  done
}

READY=()
start_controls control-0 osu control-1 adabraka control-2 legon
sleep 0.3
echo "== processes and documents"
deploy archive-trial examples/archive.json summariser request-desk osu adabraka legon
ARCHIVE=("${STOPS[@]}")
ARCHIVE_ENTRIES=("${ENTRIES[@]}")
deploy qantara-trial examples/qantara.json llm-writers bot-api tunis-a tunis-b tunis-c tunis-d
QANTARA=("${STOPS[@]}")
QANTARA_ENTRIES=("${ENTRIES[@]}")
for r in "${READY[@]}"; do await_ready "$r"; done

cat >"$RUN/archive.plan" <<JSON
{"Deployment": "Archive", "Entries": [$(quoted "${ARCHIVE_ENTRIES[@]}")], "Seconds": 8,
 "FirstTokenMilliseconds": 330, "BetweenTokensMilliseconds": 29, "PrefillTokensPerSecond": 20000,
 "Streams": [
  {"Name": "summaries", "Key": "reading-room-key", "RatePerSecond": 4, "Model": "summariser", "PromptTokens": [500, 8000], "MaxTokens": 256},
  {"Name": "whole", "Key": "reading-room-key", "RatePerSecond": 1, "Model": "summariser", "PromptTokens": [500, 2000], "MaxTokens": 64, "Whole": true},
  {"Name": "holds", "Key": "reading-room-key", "RatePerSecond": 5, "Method": "POST", "Path": "/services/request-desk/holds", "Keyed": true},
  {"Name": "catalogue", "Key": "catalogue-key", "RatePerSecond": 20, "Method": "GET", "Path": "/services/request-desk/catalogue/deeds"}]}
JSON
cat >"$RUN/qantara.plan" <<JSON
{"Deployment": "Qantara", "Entries": [$(quoted "${QANTARA_ENTRIES[@]}")], "Seconds": 8,
 "FirstTokenMilliseconds": 330, "BetweenTokensMilliseconds": 29, "PrefillTokensPerSecond": 20000,
 "Streams": [
  {"Name": "changelogs", "Key": "depbot-key", "RatePerSecond": 6, "Model": "llm-writers", "PromptTokens": [200, 4000], "MaxTokens": 256},
  {"Name": "merges", "Key": "depbot-key", "RatePerSecond": 5, "Method": "POST", "Path": "/services/bot-api/merges", "Keyed": true},
  {"Name": "status", "Key": "ci-key", "RatePerSecond": 30, "Method": "GET", "Path": "/services/bot-api/status/main", "DeadlineMilliseconds": 1000}]}
JSON
echo "== calls"
"$BIN/standin-load" --plan "$RUN/archive.plan" --seed 1 --show 3 --label '{"Case":"demo","Policy":"reserve"}' >"$RUN/archive.out" &
LOAD=$!
FAILED=0
"$BIN/standin-load" --plan "$RUN/qantara.plan" --seed 2 --show 3 --label '{"Case":"demo","Policy":"reserve"}' >"$RUN/qantara.out" || FAILED=1
wait "$LOAD" || FAILED=1
cat "$RUN/archive.out" "$RUN/qantara.out"

echo "== planned stop"
STOPPING=()
stop_all archive-trial "${ARCHIVE[@]}"
stop_all qantara-trial "${QANTARA[@]}"
for p in "${STOPPING[@]}"; do wait "$p" || FAILED=1; done
echo "stopped: ${#STOPPING[@]} processes"
[ "$FAILED" -eq 0 ] || { echo "FAILED: something was lost" >&2; exit 1; }
echo "all calls have a whole answer or an honest refusal"
