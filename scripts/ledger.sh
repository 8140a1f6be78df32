#!/usr/bin/env bash
# Measures the load of non-idempotent calls on the store and on the gateways at several
# rates. Appends points to OUT/ledger.jsonl.
#
# Environment: RATES (calls/s), SECONDS_EACH.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/measuring.sh
RATES=${RATES:-10 20 40 80}
EACH=${SECONDS_EACH:-20}

start_store
start_services 3 --log-level warn
apply_document >/dev/null
start_hosts 2 --log-level warn
wait_healthy 3 20
sleep 3
seed=0
for rate in $RATES; do
  seed=$((seed + 1)) # a new seed gives new idempotency keys
  note "ledger: $rate calls/s"
  $BIN/hitchload run --gateways "$GATEWAYS" --keys "$KEYS" --rate "$rate" --duration "${EACH}s" --seed "$seed" \
    --lookup-share 0 --hold-share 1 >"$TOP/run.txt" &
  run=$!
  sleep 4
  $BIN/hitchload usage --series ledger --role gateway --process "$(processes gateway)" --for "$((EACH - 8))s" --hosts 2 --targets 3 \
    --requests "$rate" --store "$STORE" --by "make ledger" --out "$OUT/ledger.jsonl"
  wait "$run"
  cat "$TOP/run.txt"
done
