#!/usr/bin/env bash
# Runs two deployments of 8 hosts and 12 engines side by side, which differ only in
# the agents' policy, and sends both the same requests at the same time. The engines
# have so little memory that it fills up. SLOW=1 makes their steps three times as long,
# with a third of the tokens and less than half of the memory, so that the load of the
# machine affects the results less. Writes OUT/compare-SEED/.
#
# Usage: scripts/compare.sh [baseline]; environment: SLOW, RATE, SECONDS_EACH, SEED.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/measuring.sh
BASELINE=${1:-least_in_flight}
EACH=${SECONDS_EACH:-60}
SEED=${SEED:-1}
HOSTS=8
if [ -n "${SLOW:-}" ]; then
  RATE=${RATE:-22}
  ENGINE=(--blocks 96 --step-base 60ms --step-sequence 1ms)
  LENGTHS=(--median-tokens 60 --max-tokens 1500)
  # With an objective below the shortest step time, each engine would admit only one
  # request.
  OBJECTIVE="interTokenMs: 100, "
else
  RATE=${RATE:-38}
  ENGINE=(--blocks 256)
  LENGTHS=(--median-tokens 150 --max-tokens 4000)
fi
ENGINE_COUNT=12

# deploy NAME BASE_PORT POLICY starts a deployment whose agents use the policy.
deploy() {
  begin_deployment "$TOP/$1" "$2"
  start_store
  start_engines $ENGINE_COUNT "${ENGINE[@]}" --max-batch 64 --report-every 250ms --report-lag 500ms --cache-lag 500ms \
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
  --lookup-share 0 --hold-share 0 "${LENGTHS[@]}" --sigma-tokens 1.2 --prompt-tokens 400 --out "$OUT/compare-$SEED"
note "end"
