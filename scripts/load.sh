#!/usr/bin/env bash
# Sends a mix of completions, lookups and holds to 8 gateways with 12 engines and 3
# plain services and reports what callers see. Writes OUT/load/ and appends points to
# OUT/load.jsonl.
#
# Environment: RATE (requests/s), SECONDS_EACH, SEED.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/measuring.sh
RATE=${RATE:-30}
EACH=${SECONDS_EACH:-40}
SEED=${SEED:-1}
ENGINE_COUNT=12

start_store
start_engines $ENGINE_COUNT --blocks 768 --max-batch 64 --log-level warn
start_services 3 --log-level warn
apply_document >/dev/null
start_hosts 8 --log-level warn
wait_healthy $((ENGINE_COUNT + 3)) 20
sleep 3

note "load: 8 gateways, 12 engines, 3 services, $RATE requests/s, seed $SEED"
$BIN/hitchload run --gateways "$GATEWAYS" --engines "$ENGINES" --keys "$KEYS" --rate "$RATE" --duration "${EACH}s" --seed "$SEED" \
  --out "$OUT/load" --label "$RATE requests/s" >"$TOP/run.txt" &
run=$!
sleep 5
usages=()
for role in gateway agent; do
  $BIN/hitchload usage --series load-requests --role $role --process "$(processes $role)" --for "$((EACH - 8))s" --hosts 8 \
    --targets $((ENGINE_COUNT + 3)) --requests "$RATE" --store "$STORE" --by "make load" --out "$OUT/load.jsonl" >"$TOP/usage-$role.txt" &
  usages+=("$!")
done
wait "${usages[@]}"
wait "$run" || { cat "$TOP/run.txt"; exit 1; }
cat "$TOP/run.txt" "$TOP"/usage-*.txt
