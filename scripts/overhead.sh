#!/usr/bin/env bash
# Measures the overhead of one gateway over direct calls to the engines: latency in
# alternating rounds, then CPU time at several token rates. The engines' step time is
# constant, so that the choice of engine makes no difference. Writes OUT/overhead/ and
# appends points to OUT/gateway.jsonl.
#
# Environment: RATES (requests/s), TOKENS (tokens per request), SECONDS_EACH, ROUNDS.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/measuring.sh
RATES=${RATES:-15 30 60}
TOKENS=${TOKENS:-200}
EACH=${SECONDS_EACH:-20}
ROUNDS=${ROUNDS:-3}
ENGINE_COUNT=12
ONE_LENGTH=(--median-tokens "$TOKENS" --sigma-tokens 0 --max-tokens "$TOKENS" --prompt-tokens 200)

start_store
start_engines $ENGINE_COUNT --step-base 12ms --step-sequence 1ns --step-prefill 1ns --blocks 100000 --max-batch 256 --log-level warn
apply_document >/dev/null
start_hosts 1 --log-level warn
wait_healthy $ENGINE_COUNT 20
sleep 3

# usage_at ROLE RATE measures the processes of a role under load.
usage_at() {
  $BIN/hitchload usage --series gateway-tokens --role "$1" --process "$(processes "$1")" --for "$((EACH - 8))s" --hosts 1 \
    --targets $ENGINE_COUNT --requests "$2" --tokens "$(($2 * TOKENS))" --by "make overhead" --out "$OUT/gateway.jsonl"
}

last=${RATES##* }
if [ "$ROUNDS" -gt 0 ]; then
  note "overhead: $((last * TOKENS)) tokens/s, $ROUNDS rounds"
  $BIN/hitchload overhead --gateways "$GATEWAYS" --engines "$ENGINES" --keys "$KEYS" --rate "$last" --rounds "$ROUNDS" \
    --duration "${EACH}s" "${ONE_LENGTH[@]}" --out "$OUT/overhead"
fi

seed=100 # idempotency keys derive from the seed; calls with those of the rounds above would only replay their answers
for rate in $RATES; do
  seed=$((seed + 1))
  note "cost: $((rate * TOKENS)) tokens/s"
  $BIN/hitchload run --gateways "$GATEWAYS" --keys "$KEYS" --rate "$rate" --seed "$seed" --duration "${EACH}s" --lookup-share 0 --hold-share 0 \
    "${ONE_LENGTH[@]}" --label "$((rate * TOKENS)) tokens/s" >"$TOP/run.txt" &
  run=$!
  sleep 5
  for role in gateway agent engine; do usage_at "$role" "$rate" >"$TOP/usage-$role.txt" & done
  wait "$run"
  for role in gateway agent engine; do
    until [ -s "$TOP/usage-$role.txt" ]; do sleep 0.2; done
    cat "$TOP/usage-$role.txt"
    : >"$TOP/usage-$role.txt"
  done
  cat "$TOP/run.txt"
done
