# Functions that start and stop a deployment of separate processes on loopback.
# Sourced by demo.sh and the measurement scripts. stop_all stops only the processes
# started here, by their process ids.
#
# The caller sets BIN (directory of the programs), RUN (directory for logs) and
# BASE_PORT (first of 700 consecutive ports). begin_deployment begins another deployment
# with its own RUN and ports.

PIDS=()
PEERS=""
GATEWAYS=""
ENGINES=""
AGENTS=""
ENVIRONMENT=${ENVIRONMENT:-production}
TOKEN_KEYS=${TOKEN_KEYS:-k1:000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f}
DOMAINS=(sk-west-a sk-west-b sk-west-c)

# begin_deployment RUN BASE_PORT clears the addresses of the previous deployment, whose
# processes keep running.
begin_deployment() {
  RUN=$1
  BASE_PORT=$2
  PEERS=""
  GATEWAYS=""
  ENGINES=""
  AGENTS=""
  mkdir -p "$RUN"
}

# start NAME PROGRAM ARG... starts a program, writes its log and process id to RUN and
# sets PID.
start() {
  local name=$1 program=$2
  shift 2
  "$BIN/$program" "$@" >>"$RUN/$name.log" 2>&1 &
  PID=$!
  PIDS+=("$PID")
  echo "$PID" >"$RUN/$name.pid"
}

# wait_ok URL SECONDS waits until the URL returns a success status.
wait_ok() {
  local deadline=$((SECONDS + $2))
  until curl -fsS -o /dev/null --max-time 1 "$1" 2>/dev/null; do
    if [ "$SECONDS" -ge "$deadline" ]; then
      echo "not ready: $1" >&2
      return 1
    fi
    sleep 0.05
  done
}

start_store() {
  STORE="http://127.0.0.1:$BASE_PORT"
  # Otherwise this deployment would register with a store that another deployment runs
  # on the port.
  if (: <"/dev/tcp/127.0.0.1/$BASE_PORT") 2>/dev/null; then
    echo "port $BASE_PORT is in use; choose another BASE_PORT" >&2
    return 1
  fi
  start store standin store --listen "127.0.0.1:$BASE_PORT"
  wait_ok "$STORE/admin/counts" 10
}

# start_engines COUNT ARG... starts stand-in engines; ARG goes to each engine.
start_engines() {
  local count=$1 i port
  shift
  for ((i = 1; i <= count; i++)); do
    port=$((BASE_PORT + 10 + i))
    start "engine-$i" standin engine --listen "127.0.0.1:$port" --name "engine-$i" \
      --domain "${DOMAINS[i % 3]}" --region sk-west --model briefing@v1+sk,briefing@v2+sk --register "$STORE" "$@"
    ENGINES="${ENGINES:+$ENGINES,}http://127.0.0.1:$port"
  done
  for ((i = 1; i <= count; i++)); do wait_ok "http://127.0.0.1:$((BASE_PORT + 10 + i))/livez" 10; done
}

# start_services COUNT ARG... starts stand-in services; ARG goes to each service.
start_services() {
  local count=$1 i port
  shift
  for ((i = 1; i <= count; i++)); do
    port=$((BASE_PORT + 50 + i))
    start "booking-$i" standin service --listen "127.0.0.1:$port" --name "booking-$i" --service booking \
      --domain "${DOMAINS[i % 3]}" --region sk-west --register "$STORE" "$@"
  done
  for ((i = 1; i <= count; i++)); do wait_ok "http://127.0.0.1:$((BASE_PORT + 50 + i))/livez" 10; done
}

# host_port KIND NUMBER prints the port of one process of a host.
host_port() {
  case $1 in
    agent) echo $((BASE_PORT + 100 + $2)) ;;
    agent-http) echo $((BASE_PORT + 200 + $2)) ;;
    gateway) echo $((BASE_PORT + 300 + $2)) ;;
    gateway-http) echo $((BASE_PORT + 400 + $2)) ;;
  esac
}

# start_agents COUNT ARG... starts the agents of COUNT hosts, at most 99.
start_agents() {
  local count=$1 i
  shift
  for ((i = 1; i <= count; i++)); do AGENTS="${AGENTS:+$AGENTS,}127.0.0.1:$(host_port agent "$i")"; done
  PEERS=$AGENTS
  for ((i = 1; i <= count; i++)); do
    start "agent-$i" agent --host "host-$i" --domain "${DOMAINS[i % 3]}" --region sk-west \
      --listen "127.0.0.1:$(host_port agent "$i")" --http "127.0.0.1:$(host_port agent-http "$i")" \
      --store "$STORE" --environment "$ENVIRONMENT" --peers "$PEERS" "$@"
  done
  for ((i = 1; i <= count; i++)); do wait_ok "http://127.0.0.1:$(host_port agent-http "$i")/readyz" 20; done
}

# start_gateways COUNT starts the gateways of the first COUNT hosts, whose agents must be
# running, with the flags in GATEWAY_ARGS.
start_gateways() {
  local count=$1 i
  for ((i = 1; i <= count; i++)); do
    start "gateway-$i" gateway --host "host-$i" --region sk-west --store "$STORE" --token-keys "$TOKEN_KEYS" \
      --listen "127.0.0.1:$(host_port gateway "$i")" --http "127.0.0.1:$(host_port gateway-http "$i")" \
      --agents "127.0.0.1:$(host_port agent "$i"),$PEERS" ${GATEWAY_ARGS:-}
    GATEWAYS="${GATEWAYS:+$GATEWAYS,}http://127.0.0.1:$(host_port gateway "$i")"
  done
  for ((i = 1; i <= count; i++)); do wait_ok "http://127.0.0.1:$(host_port gateway-http "$i")/readyz" 20; done
}

# start_hosts COUNT ARG... starts an agent and a gateway per host; ARG goes to the agents.
start_hosts() {
  start_agents "$@"
  start_gateways "$1"
}

# wait_healthy COUNT SECONDS waits until every agent reports COUNT healthy targets.
wait_healthy() {
  local deadline=$((SECONDS + $2)) agent
  for agent in ${AGENTS//,/ }; do
    until [ "$("$BIN/hitchctl" status --store "$STORE" --environment "$ENVIRONMENT" --agent "$agent" --output json 2>/dev/null |
      grep -ci '"healthy": *true')" -ge "$1" ]; do
      if [ "$SECONDS" -ge "$deadline" ]; then
        echo "agent $agent does not report $1 healthy targets" >&2
        return 1
      fi
      sleep 0.1
    done
  done
}

# stop_all kills every process started here and waits for it to exit.
stop_all() {
  local pid
  for pid in "${PIDS[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
