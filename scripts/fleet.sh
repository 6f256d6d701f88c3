# Starts and stops a small fleet on loopback addresses: three hosts, each with
# a daemon that has both roles. Sourced by demo.sh and by the process tests.
# Needs: bin (folder of the programs), run (folder for files of this run),
# base (first port).

fleet_secret="0123456789abcdef-fleet"
operator_token="0123456789abcdef-operator"
fleet_pids=()

host_ip() { echo "127.0.1.$1"; }
callers() { echo "$(host_ip "$1"):$((base))"; }
peers() { echo "$(host_ip "$1"):$((base + 1))"; }
operators() { echo "$(host_ip "$1"):$((base + 2))"; }
control_list() { echo "$(operators 1),$(operators 2),$(operators 3)"; }

# write_settings HOST REGION ZONE
write_settings() {
  mkdir -p "$run/data$1"
  (umask 077; echo "$fleet_secret" > "$run/fleet.secret"
   echo "$operator_token" > "$run/operator.token")
  cat > "$run/host$1.yaml" <<EOF
host: host-$1
region: $2
zone: $3
roles: [call, control]
listen:
  callers: $(callers "$1")
  peers: $(peers "$1")
  operators: $(operators "$1")
control_hosts:
  - {host: host-1, peers: $(peers 1)}
  - {host: host-2, peers: $(peers 2)}
  - {host: host-3, peers: $(peers 3)}
data_folder: data$1
fleet_secret_file: fleet.secret
operator_token_file: operator.token
log: {level: ${log_level:-info}, format: text}
EOF
}

# start_daemon HOST: its process id is left in daemon_pid_HOST
start_daemon() {
  "$bin/jackdawhalld" --settings "$run/host$1.yaml" >> "$run/host$1.log" 2>&1 &
  eval "daemon_pid_$1=$!"
  fleet_pids+=($!)
}

# start_backend NAME HOST PORT SERVICE [FLAG...]
start_backend() {
  local name=$1 host=$2 port=$3 service=$4
  shift 4
  "$bin/fake_backend" --listen "$(host_ip "$host"):$port" \
    --daemon "$(callers "$host")" --service "$service" --id "$name" "$@" \
    >> "$run/$name.log" 2>&1 &
  eval "backend_pid_${name//-/_}=$!"
  fleet_pids+=($!)
}

ctl() {
  "$bin/jackdawhallctl" --control "$(control_list)" \
    --token_file "$run/operator.token" "$@"
}

# wait_for SECONDS COMMAND...: until the command succeeds
wait_for() {
  local end=$((SECONDS + $1))
  shift
  until "$@" > /dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || return 1
    read -r -t 0.1 <> <(:) || true
  done
}

is_ready() { curl -sf "http://$(operators "$1")/ready"; }

start_fleet() {
  write_settings 1 quebec quebec-a
  write_settings 2 montreal montreal-a
  write_settings 3 saguenay saguenay-a
  for host in 1 2 3; do start_daemon "$host"; done
  for host in 1 2 3; do wait_for 20 is_ready "$host" || return 1; done
}

# Only what still runs as a child of this shell: the id of a process that has
# ended may belong to another one.
stop_fleet() {
  local running pid
  running=" $(echo $(jobs -rp) $(jobs -sp)) "
  for pid in "${fleet_pids[@]}"; do
    [[ $running != *" $pid "* ]] || kill "$pid" 2> /dev/null || true
  done
  for pid in "${fleet_pids[@]}"; do wait "$pid" 2> /dev/null || true; done
  fleet_pids=()
}
