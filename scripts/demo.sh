#!/usr/bin/env bash
# Starts a complete deployment on loopback, sends requests through it, drains a gateway
# under load and stops everything. Exits with 0 only if every step succeeded.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=bin
RUN=$(mktemp -d)
BASE_PORT=${BASE_PORT:-21000}
. scripts/deployment.sh

finish() {
  local code=$?
  stop_all
  if [ "$code" -ne 0 ]; then
    echo "demo failed; last lines of the logs:" >&2
    tail -n 5 "$RUN"/*.log >&2
  fi
  rm -rf "$RUN"
  exit "$code"
}
trap finish EXIT

step() { printf '\n== %s\n' "$*"; }
fail() { echo "step failed: $*" >&2; exit 1; }

KEY=demo-desk-key
HASH="sha256:$(printf %s "$KEY" | sha256sum | cut -d' ' -f1)"
sed "s|{key-hash}|$HASH|" examples/demo.yaml >"$RUN/demo.yaml"

step "start the platform's stand-ins: store, three engines, one plain service"
start_store
start_engines 3
start_services 1

step "validate and apply an environment document"
$BIN/hitchctl validate "$RUN/demo.yaml"
$BIN/hitchctl apply "$RUN/demo.yaml" --store "$STORE" --environment production --operator demo

step "start three hosts, each a gateway and an agent"
start_hosts 3
wait_healthy 4 10
GATEWAY=${GATEWAYS%%,*}

step "stream an answer"
curl --fail-with-body -sSN --max-time 20 "$GATEWAY/v1/completions" -H "Authorization: Bearer $KEY" -H "Idempotency-Key: demo-1" \
  -d '{"model":"briefing","prompt":"Trip briefing for Saturday. #len=12","stream":true}' >"$RUN/stream.txt" || fail "$(cat "$RUN/stream.txt")"
tail -n 4 "$RUN/stream.txt"
[ "$(grep '"offset"' "$RUN/stream.txt" | grep -vc finish_reason)" -eq 12 ] || fail "12 tokens expected"
grep -q 'data: \[DONE\]' "$RUN/stream.txt" || fail "the stream did not end"

step "hold a seat twice with one key: the second answer is the first, replayed"
hold() {
  curl --fail-with-body -sS --max-time 10 "$1/services/booking/seat-holds" -H "Authorization: Bearer $KEY" \
    -H "Idempotency-Key: hold-1" -H "Content-Type: application/json" -d '{"berth":"B7"}'
}
first=$(hold "$GATEWAY")
second=$(hold "${GATEWAYS##*,}")
echo "$first"
[ "$first" = "$second" ] || fail "answers differ: $second"
[ "$(curl -fsS "http://127.0.0.1:$((BASE_PORT + 51))/admin/journal" | grep -o '"hold-1"' | wc -l)" -eq 1 ] || fail "the hold ran more than once"

step "status"
$BIN/hitchctl status --store "$STORE" --environment production --agent "${AGENTS%%,*}"

step "drain one gateway under load: no stream may be cut"
$BIN/hitchload run --gateways "$GATEWAYS" --keys "$KEY" --rate 30 --duration 6s --median-tokens 60 --max-tokens 300 \
  --label drain --out "$RUN/load" >"$RUN/load.txt" &
load=$!
sleep 2
kill -TERM "$(cat "$RUN/gateway-3.pid")"
wait "$(cat "$RUN/gateway-3.pid")" || fail "the drained gateway did not exit 0"
wait "$load" || fail "the load run found violations"
cat "$RUN/load.txt"
grep -q 'stream cut' "$RUN/load.txt" && fail "a stream was cut"
step "stop everything"
echo "demo passed"
