# Backend servers of the soak, each behind a relay of its own, so that the
# connections of its gate can go silent. Sourced by links_soak.sh.
# NAME -> HOST PORT RELAY_PORT SERVICE
declare -A server_places=(
  [plans-1]="1 10 17 plans"
  [payments-2]="2 10 17 payments"
  [plans-3]="3 10 17 plans"
  [payments-3]="3 11 18 payments"
)
server_names=(plans-1 payments-2 plans-3 payments-3)
server_drain_s=30
signals_taken_after_s=2
declare -A server_life server_pid server_relay server_started

start_server_relay() { # NAME
  local place
  read -r -a place <<< "${server_places[$1]}"
  "$bin/forwarder" "$(host_ip "${place[0]}")" $((base + place[2])) \
    "$(host_ip "${place[0]}")" $((base + place[1])) &
  server_relay[$1]=$!
  fleet_pids+=($!)
}

# Each start is another life of the server, with an id of its own.
start_server() { # NAME
  local place
  read -r -a place <<< "${server_places[$1]}"
  server_life[$1]=$((${server_life[$1]:-0} + 1))
  start_backend "$1" "${place[0]}" $((base + place[1])) "${place[3]}" \
    --slots 64 --times --drain_s $server_drain_s \
    --id "$1.${server_life[$1]}" \
    --announced "$(host_ip "${place[0]}"):$((base + place[2]))"
  server_pid[$1]=${fleet_pids[-1]}
  server_started[$1]=$SECONDS
}

start_servers() {
  local name
  for name in "${server_names[@]}"; do
    start_server_relay "$name"
    start_server "$name"
  done
}

server_takes_signals() { # NAME
  [ -z "${stopping[$1]:-}" ] &&
    [ $SECONDS -gt $((server_started[$1] + signals_taken_after_s)) ]
}
