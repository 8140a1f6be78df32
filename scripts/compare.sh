#!/usr/bin/env bash
# Runs two deployments of 8 hosts and 12 engines side by side, which differ in
# the agents' policy only, and sends both the same arrivals at the same time.
# Engines have little memory, so that it fills. Writes OUT/compare/.
#
# Usage: scripts/compare.sh [baseline]; environment: RATE, SECONDS_EACH, SEED.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/measuring.sh
BASELINE=${1:-least_in_flight}
RATE=${RATE:-28}
EACH=${SECONDS_EACH:-60}
SEED=${SEED:-1}
HOSTS=8
ENGINE_COUNT=12

# deploy NAME BASE_PORT POLICY
deploy() {
  begin_deployment "$TOP/$1" "$2"
  start_store
  start_engines $ENGINE_COUNT --blocks "${BLOCKS:-256}" --max-batch 64 --report-every 250ms --report-lag 500ms --cache-lag 500ms \
    --cache-loss 0.02 --log-level warn
  apply_document >/dev/null
  start_hosts $HOSTS --policy "$3" --log-level warn
  wait_healthy $ENGINE_COUNT 30
}

deploy ours "$BASE_PORT" pool_owner
ours_gateways=$GATEWAYS ours_engines=$ENGINES
deploy baseline "$((BASE_PORT + 700))" "$BASELINE"
sleep 3

note "compare: pool_owner and $BASELINE, $RATE requests/s each, seed $SEED"
$BIN/hitchload compare --gateways-a "$ours_gateways" --gateways-b "$GATEWAYS" --engines-a "$ours_engines" --engines-b "$ENGINES" \
  --label-a pool_owner --label-b "$BASELINE" --keys "$KEYS" --rate "$RATE" --duration "${EACH}s" --seed "$SEED" \
  --lookup-share 0 --hold-share 0 --median-tokens 150 --sigma-tokens 1.2 --max-tokens 4000 --prompt-tokens 400 --out "$OUT/compare"
note "end"
