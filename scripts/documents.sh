#!/usr/bin/env bash
# Measures the cost of a change of the environment document in each agent and gateway,
# for documents with different numbers of client accounts. Appends points to
# OUT/documents.jsonl.
#
# Usage: scripts/documents.sh [accounts...]; environment: SECONDS_EACH, HOSTS.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/measuring.sh
SIZES=("${@:-10}")
EACH=${SECONDS_EACH:-30}
HOSTS=${HOSTS:-4}
CHANGES=3

# fleet_document ACCOUNTS WEIGHT prints a document; the first account has WEIGHT.
fleet_document() {
  sed '/^accounts:/,$d' examples/demo.yaml
  awk -v n="$1" -v w="$2" 'BEGIN {
    print "accounts:"
    for (i = 1; i <= n; i++) {
      printf "  - name: account-%05d\n    keyHashes: [\"sha256:%08x%056x\"]\n    weight: %d\n", i, i * 2654435761 % 4294967296, i, i == 1 ? w : 1 + i % 9
      print "    serves: [{model: briefing, version: v1}]\n    services: [booking]"
    }
  }'
  sed -n '/^services:/,$p' examples/demo.yaml
}

apply() {
  fleet_document "$1" "$2" >"$RUN/fleet.yaml"
  $BIN/hitchctl apply "$RUN/fleet.yaml" --store "$STORE" --environment "$ENVIRONMENT" --operator measure --timeout 60s "${@:3}" |
    grep -iE 'force|wait|host' || true
}

# change SERIES ACCOUNTS measures CHANGES changes of a document with ACCOUNTS accounts.
change() {
  begin_deployment "$TOP/$1-$2" "$BASE_PORT"
  start_store
  start_engines 1
  apply "$2" 1 >/dev/null
  start_hosts "$HOSTS" --log-level warn
  wait_healthy 1 30
  sleep 5
  note "documents: $2 accounts, $HOSTS hosts, $CHANGES changes in $EACH s"
  for role in agent gateway; do
    $BIN/hitchload usage --series "$1" --role $role --process "$(processes $role)" --for "${EACH}s" --hosts "$HOSTS" --targets 1 \
      --accounts "$2" --changes "$(awk "BEGIN {print $CHANGES / $EACH}")" --store "$STORE" --by "make documents" --out "$OUT/documents.jsonl" \
      >"$TOP/usage-$role.txt" &
    echo $! >"$TOP/usage-$role.job"
  done
  for ((i = 1; i <= CHANGES; i++)); do apply "$2" $((i + 1)) --wait --agent "${AGENTS%%,*}"; done
  for role in agent gateway; do wait "$(cat "$TOP/usage-$role.job")"; cat "$TOP/usage-$role.txt"; done
  stop_all
  PIDS=()
}

for accounts in "${SIZES[@]}"; do change documents "$accounts"; done
