#!/usr/bin/env bash
# Measures agents at rest: processor share, resident memory and bytes through
# system calls (sockets included), per agent, over a window without requests.
#
# Usage: tools/measure/agent-rest.sh [agents] [engines] [services] [seconds]
set -euo pipefail
cd "$(dirname "$0")/../.."
AGENTS=${1:-8} ENGINES=${2:-12} SERVICES=${3:-3} SECONDS_MEASURED=${4:-20}
BASE=${BASE_PORT:-23000}
OUT=$(mktemp -d)
PIDS=()
finish() {
	for pid in "${PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
	for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
}
trap finish EXIT
run() {
	local name=$1
	shift
	"$@" >"$OUT/$name.log" 2>&1 &
	PIDS+=($!)
	LAST=$!
}
go build -o bin/ ./cmd/agent ./cmd/standin
STORE=http://127.0.0.1:$BASE
run store bin/standin store --listen "127.0.0.1:$BASE"
until curl -fs "$STORE/admin/counts" >/dev/null; do sleep 0.1; done
for i in $(seq "$ENGINES"); do
	run "engine-$i" bin/standin engine --name "engine-$i" --domain "d$((i % 3))" --region r --register "$STORE"
done
for i in $(seq "$SERVICES"); do
	run "service-$i" bin/standin service --name "service-$i" --domain "d$((i % 3))" --region r --register "$STORE"
done
AGENT_PIDS=()
for i in $(seq "$AGENTS"); do
	run "agent-$i" bin/agent --host "h$i" --domain "d$((i % 3))" --region r --store "$STORE" \
		--listen "127.0.0.1:$((BASE + 100 + i))" --http "127.0.0.1:$((BASE + 300 + i))"
	AGENT_PIDS+=("$LAST")
done
metric() { curl -fs "http://127.0.0.1:$((BASE + 300 + $1))/metrics" | awk -v n="$2" '$1 ~ "^"n"[{]" || $1 == n {s += $2} END {print s + 0}'; }
settled() {
	for i in $(seq "$AGENTS"); do
		[ "$(metric "$i" hitch_agent_targets_usable)" = "$((ENGINES + SERVICES))" ] || return 1
		[ "$(metric "$i" hitch_agent_members)" = "$AGENTS" ] || return 1
	done
}
for _ in $(seq 100); do settled && break; sleep 0.2; done
settled || { echo "agents did not agree on members and targets; logs in $OUT" >&2; exit 1; }
sleep 3
sample() { # pid -> "ticks bytes"
	local stat io
	stat=$(cut -d')' -f2 "/proc/$1/stat")
	io=$(awk '/^rchar|^wchar/ {s += $2} END {print s}' "/proc/$1/io")
	# shellcheck disable=SC2086
	set -- $stat
	echo "$((${12} + ${13})) $io"
}
BEFORE=()
for pid in "${AGENT_PIDS[@]}"; do BEFORE+=("$(sample "$pid")"); done
sleep "$SECONDS_MEASURED"
echo "agent cpu_percent rss_mb kilobytes_per_second"
n=0
for pid in "${AGENT_PIDS[@]}"; do
	read -r t0 b0 <<<"${BEFORE[$n]}"
	read -r t1 b1 <<<"$(sample "$pid")"
	rss=$(awk '/^VmRSS/ {print $2}' "/proc/$pid/status")
	n=$((n + 1))
	awk -v i="$n" -v t="$((t1 - t0))" -v b="$((b1 - b0))" -v r="$rss" -v s="$SECONDS_MEASURED" -v hz="$(getconf CLK_TCK)" \
		'BEGIN {printf "h%d %.2f %.1f %.1f\n", i, 100 * t / hz / s, r / 1024, b / 1000 / s}'
done
