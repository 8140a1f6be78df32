#!/usr/bin/env bash
# Measures idle agents (without callers) in fleets of several sizes. Appends points to
# OUT/rest.jsonl.
#
# Usage: scripts/rest.sh [hosts:targets...]; environment: SERIES (series name of the
# points), WITH_GATEWAYS=1 (each host has a gateway too), AGENT_ARGS, SECONDS_EACH,
# SETTLE (seconds to wait before measuring).
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/measuring.sh
SIZES=("${@:-8:15}")
SERIES=${SERIES:-rest}
EACH=${SECONDS_EACH:-20}s
SETTLE=${SETTLE:-15}
ENGINE_COUNT=12
SERVICE_COUNT=3
REAL=$((ENGINE_COUNT + SERVICE_COUNT))

# alias_targets COUNT adds COUNT targets to the host list, with the addresses of the
# running engines.
alias_targets() {
  if [ "$1" -eq 0 ]; then return; fi
  curl -fsS "$STORE/admin/targets" | awk -v n="$1" -v engines="$ENGINES" -v domains="${DOMAINS[*]}" '
    BEGIN { e = split(engines, engine, ","); d = split(domains, domain, " ") }
    { sub(/\][ \n]*$/, ""); print }
    END {
      for (i = 1; i <= n; i++) {
        sub("http://", "", engine[i % e + 1])
        printf ",{\"name\":\"alias-%d\",\"address\":\"%s\",\"domain\":\"%s\",\"region\":\"sk-west\",\"kind\":\"engine\"}\n", i, engine[i % e + 1], domain[i % d + 1]
      }
      print "]"
    }' >"$RUN/targets.json"
  curl -fsS -o /dev/null -X PUT "$STORE/admin/targets" --data-binary "@$RUN/targets.json"
}

# rest HOSTS TARGETS measures the agents of one fleet.
rest() {
  begin_deployment "$TOP/$1-$2" "$BASE_PORT"
  start_store
  start_engines $ENGINE_COUNT --log-level warn
  start_services $SERVICE_COUNT --log-level warn
  apply_document >/dev/null
  alias_targets $(($2 - REAL))
  # shellcheck disable=SC2086 # AGENT_ARGS holds several words
  start_agents "$1" --log-level warn ${AGENT_ARGS:-}
  if [ -n "${WITH_GATEWAYS:-}" ]; then start_gateways "$1"; fi
  wait_healthy "$2" 60
  sleep "$SETTLE"
  note "$SERIES: $1 hosts, $2 targets"
  $BIN/hitchload usage --series "$SERIES" --role agent --process "$(processes agent)" --for "$EACH" --hosts "$1" \
    --targets "$2" --accounts "$ACCOUNTS" --store "$STORE" --by "SERIES=$SERIES scripts/rest.sh $1:$2" --out "$OUT/rest.jsonl"
  stop_all
  PIDS=()
}

for size in "${SIZES[@]}"; do rest "${size%:*}" "${size#*:}"; done
