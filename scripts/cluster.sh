# Functions that start the processes of a small system on loopback. Sourced by
# demo.sh, bench.sh and capacity.sh, which set BIN, the folder of the programs,
# and RUN_DIR, the folder for settings, logs and data. PIDS and CONTROL_ADDRESSES
# collect the processes and the control hosts that were started.
# shellcheck shell=bash

PORT=${PORT:-17000}
PIDS=()
CONTROL_ADDRESSES=()

# next_port sets PORT to the next number; it doesn't check that the port is free.
next_port() { PORT=$((PORT + 1)); }

# launch NAME PROGRAM ARGUMENTS... starts a process in the background, with its
# output in NAME.log.
launch() {
  local name=$1
  shift
  "$@" >"$RUN_DIR/$name.log" 2>&1 &
  PIDS+=("$!")
}

# json_strings prints its arguments as quoted strings with commas between.
json_strings() {
  local IFS=,
  local out=("${@/#/\"}")
  echo "${out[*]/%/\"}"
}

# start_control NAME DOMAIN starts a control process that is a cluster of one.
start_control() { start_controls "$1" "$2"; }

# start_controls NAME DOMAIN [NAME DOMAIN]... starts control processes that
# share one replicated state.
start_controls() {
  local names=() domains=() peers=() hosts=() i
  while [ $# -gt 0 ]; do
    next_port
    names+=("$1")
    domains+=("$2")
    peers+=("127.0.0.1:$PORT")
    hosts+=("{\"Name\": \"$1\", \"Address\": \"127.0.0.1:$PORT\"}")
    shift 2
  done
  CONTROL_ADDRESSES+=("${peers[@]}")
  for i in "${!names[@]}"; do
    next_port
    cat >"$RUN_DIR/${names[i]}.json" <<JSON
{"Name": "${names[i]}", "FailureDomain": "${domains[i]}", "Peers": "${peers[i]}", "Operators": "127.0.0.1:$PORT",
 "DataFolder": "$RUN_DIR/${names[i]}.data", "Cluster": [$(local IFS=,; echo "${hosts[*]}")]}
JSON
    launch "${names[i]}" "$BIN/control" --settings "$RUN_DIR/${names[i]}.json"
  done
}

# start_entry NAME ENVIRONMENT DOMAIN [POLICY] starts an entry. It sets
# ENTRY_ADDRESS to its address for callers and ENTRY_OPERATORS_ADDRESS to that
# for operators.
start_entry() {
  next_port
  ENTRY_ADDRESS=127.0.0.1:$PORT
  next_port
  ENTRY_OPERATORS_ADDRESS=127.0.0.1:$PORT
  cat >"$RUN_DIR/$1.json" <<JSON
{"Name": "$1", "Environment": "$2", "FailureDomain": "$3", "Callers": "$ENTRY_ADDRESS", "Operators": "$ENTRY_OPERATORS_ADDRESS",
 "Controls": [$(json_strings "${CONTROL_ADDRESSES[@]}")], "Policy": "${4:-reserve}", "TraceFile": "$RUN_DIR/$1.trace"}
JSON
  launch "$1" "$BIN/entry" --settings "$RUN_DIR/$1.json"
}

# start_agent NAME ENVIRONMENT DOMAIN starts an agent and sets AGENT_ADDRESS to
# the address where it takes its endpoint's announcements.
start_agent() {
  next_port
  local peers=127.0.0.1:$PORT
  next_port
  AGENT_ADDRESS=127.0.0.1:$PORT
  next_port
  cat >"$RUN_DIR/$1.json" <<JSON
{"Name": "$1", "Environment": "$2", "FailureDomain": "$3", "Peers": "$peers", "Endpoint": "$AGENT_ADDRESS",
 "Operators": "127.0.0.1:$PORT", "Controls": [$(json_strings "${CONTROL_ADDRESSES[@]}")]}
JSON
  launch "$1" "$BIN/agent" --settings "$RUN_DIR/$1.json"
}

# start_engine NAME ENVIRONMENT DOMAIN ROLE MODEL [SETTINGS] starts an agent and
# its stand-in engine, which listens on PORT. SETTINGS are further JSON fields of
# the engine's settings, with a leading comma.
start_engine() {
  start_agent "$1" "$2" "$3"
  next_port
  cat >"$RUN_DIR/$1.engine.json" <<JSON
{"Address": "127.0.0.1:$PORT", "Agent": "$AGENT_ADDRESS", "Role": "$4", "Model": "$5",
 "HistoryFile": "$RUN_DIR/$1.history"${6:-}}
JSON
  launch "$1.engine" "$BIN/standin-engine" --settings "$RUN_DIR/$1.engine.json"
}

# start_service NAME ENVIRONMENT DOMAIN SERVICE starts an agent and its stand-in
# plain service.
start_service() {
  start_agent "$1" "$2" "$3"
  next_port
  cat >"$RUN_DIR/$1.service.json" <<JSON
{"Address": "127.0.0.1:$PORT", "Agent": "$AGENT_ADDRESS", "Name": "$4", "DelayMilliseconds": 5,
 "HistoryFile": "$RUN_DIR/$1.history"}
JSON
  launch "$1.service" "$BIN/standin-service" --settings "$RUN_DIR/$1.service.json"
}

# operator_tool ARGUMENTS... runs the operators' tool against the control hosts.
operator_tool() {
  local IFS=,
  "$BIN/ebonyreel" --controls "${CONTROL_ADDRESSES[*]}" --operator demo "$@"
}

# await_members ENVIRONMENT N waits until N processes have joined, for at most
# 100 tries.
await_members() {
  for _ in $(seq 100); do
    [ "$(operator_tool --environment "$1" status 2>/dev/null | tail -n +2 | wc -l)" -ge "$2" ] && return 0
    sleep 0.1
  done
  echo "timed out: fewer than $2 processes have joined $1:" >&2
  operator_tool --environment "$1" status >&2
  return 1
}

# await_ready ADDRESS waits until the entry with this operators' address is
# ready to serve callers, for at most 100 tries.
await_ready() {
  for _ in $(seq 100); do
    (exec 3<>"/dev/tcp/${1/://}" && printf 'GET /ready HTTP/1.0\r\n\r\n' >&3 && head -1 <&3 | grep -q 200) 2>/dev/null && return 0
    sleep 0.1
  done
  echo "timed out: the entry with operators' address $1 is not ready" >&2
  return 1
}

# kill_all kills the processes in PIDS and waits for all background jobs. The shell
# must not report each of them.
kill_all() {
  {
    [ ${#PIDS[@]} -eq 0 ] || kill -9 "${PIDS[@]}" || true
    PIDS=()
    wait
  } 2>/dev/null
}
