# Functions of the measurement scripts. Sourced with the repository root as the working
# directory.
BIN=bin
OUT=${OUT:-out}
# Below the ephemeral ports of the kernel, above the ports of tests/prove.
BASE_PORT=${BASE_PORT:-30100}
TOP=$(mktemp -d)
RUN=$TOP/a
mkdir -p "$RUN" "$OUT"
. scripts/deployment.sh

finish() {
  local code=$?
  stop_all
  if [ "$code" -ne 0 ]; then
    echo "measurement failed; last lines of the logs:" >&2
    tail -q -n 2 "$TOP"/*/*.log | cut -c1-300 >&2
  fi
  rm -rf "$TOP"
  exit "$code"
}
trap finish EXIT

ACCOUNTS=10
KEYS=""
for ((i = 1; i <= ACCOUNTS; i++)); do KEYS="${KEYS:+$KEYS,}measure-key-$i"; done

# apply_document writes and applies a document with ACCOUNTS client accounts.
apply_document() {
  local file=$RUN/document.yaml i key
  sed "/^accounts:/,\$d; s/^objectives: {/objectives: {${OBJECTIVE:-}/" examples/demo.yaml >"$file"
  echo "accounts:" >>"$file"
  i=0
  for key in ${KEYS//,/ }; do
    i=$((i + 1))
    cat >>"$file" <<YAML
  - name: account-$i
    keyHashes: ["sha256:$(printf %s "$key" | sha256sum | cut -d' ' -f1)"]
    serves:
      - {model: briefing, version: v1}
    services: [booking]
YAML
  done
  sed -n '/^services:/,$p' examples/demo.yaml >>"$file"
  $BIN/hitchctl apply "$file" --store "$STORE" --environment "$ENVIRONMENT" --operator measure
}

# processes ROLE prints a comma-separated list of the files with the process ids of a
# role; for agents, each with the URL of its metrics.
processes() {
  local file list="" number
  for file in "$RUN/$1"-*.pid; do
    number=${file##*-}
    number=${number%.pid}
    [ "$1" = agent ] && file="$file=http://127.0.0.1:$(host_port agent-http "$number")/metrics"
    list="${list:+$list,}$file"
  done
  echo "$list"
}

note() { printf '\n== %s (%s, load average %s)\n' "$1" "$(date -u +%FT%TZ)" "$(cut -d' ' -f1 /proc/loadavg)"; }
