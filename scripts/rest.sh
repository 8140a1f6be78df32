#!/usr/bin/env bash
# Measures agents at rest: fleets of several sizes without callers, then one
# fleet with several numbers of targets. Adds points to OUT/rest.jsonl.
#
# Usage: scripts/rest.sh [hosts...]; environment: TARGETS (list of numbers for
# eight hosts), SECONDS_EACH.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/measuring.sh
SIZES=("${@:-8}")
EACH=${SECONDS_EACH:-30}s
SETTLE=${SETTLE:-15}

# alias_targets COUNT lists COUNT targets at the running engines' addresses.
alias_targets() {
  local i engines
  IFS=, read -ra engines <<<"$ENGINES"
  for ((i = 1; i <= $1; i++)); do
    curl -fsS -o /dev/null -X PUT "$STORE/admin/targets/alias-$i" -d "{\"name\":\"alias-$i\",
      \"address\":\"${engines[i % ${#engines[@]}]#http://}\",\"domain\":\"${DOMAINS[i % 3]}\",\"region\":\"sk-west\",\"kind\":\"engine\"}"
  done
}

# rest SERIES HOSTS EXTRA_TARGETS
rest() {
  local engines=12 services=3
  begin_deployment "$TOP/$1-$2-$3" "$BASE_PORT"
  start_store
  start_engines $engines
  start_services $services
  apply_document >/dev/null
  alias_targets "$3"
  start_agents "$2" --log-level warn
  wait_healthy $((engines + services + $3)) 30
  sleep "$SETTLE"
  note "rest: $2 hosts, $((engines + services + $3)) targets"
  $BIN/hitchload usage --series "$1" --role agent --process "$(processes agent)" --for "$EACH" --hosts "$2" \
    --targets $((engines + services + $3)) --store "$STORE" --by "make rest" --out "$OUT/rest.jsonl"
  stop_all
  PIDS=()
}

for hosts in "${SIZES[@]}"; do rest rest-hosts "$hosts" 0; done
for targets in ${TARGETS:-}; do rest rest-targets 8 $((targets - 15)); done
