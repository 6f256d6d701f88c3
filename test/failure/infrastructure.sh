# Daemons with the settings of the users' infrastructure, for the process tests:
# hosts 1 to 3 are the seeds. Sourced in place of common.sh.
. "$(dirname "${BASH_SOURCE[0]}")/common.sh"
grace_s=6
lost_disks=1
operator_host=1 # that configure asks

orders() { echo "$(host_ip "$1"):$((base + 3))"; }
readiness() { echo "$(host_ip "$1"):$((base + 4))"; }
backend() { echo "$(host_ip "$1"):$((base + 5))"; }
seeds() { echo "\"$(orders 1)\", \"$(orders 2)\", \"$(orders 3)\""; }

# write_infrastructure_settings HOST ROLE [SERVICE]: the service is that of the
# server beside a call daemon.
write_infrastructure_settings() {
  mkdir -p "$run/data$1"
  cat > "$run/host$1.yaml" <<EOF
host: "$(host_ip "$1")"
region: quebec
zone: quebec-a
roles: [$2]
listen: {peers: "$(peers "$1")", operators: "$(operators "$1")"}
control_seeds: [$(seeds)]
first_start: true
fleet_secret: "$fleet_secret"
operator_token: "$operator_token"
log: {level: info, format: text}
EOF
  [ "$2" = call ] || echo "data_folder: data$1" >> "$run/host$1.yaml"
  cat >> "$run/host$1.yaml" <<EOF
infrastructure:
  orders: "$(orders "$1")"
  lost_disks: $lost_disks
  in_force_ms: 2000
  grace_s: $grace_s
  retry_share: 0.2
  retry_slack: 50
EOF
  [ "$2" = control ] || cat >> "$run/host$1.yaml" <<EOF
  callers: "$(callers "$1")"
  readiness: "$(readiness "$1")"
  beside: $3
  backend: "$(backend "$1")"
EOF
}

# route NAME TYPE SERVICE: an open route, for configure
route() {
  echo '{"name":"'"$1"'","host":"a.example","pathPrefix":"/'"$1"'/",
    "routeType":"'"$2"'","timeout":6000,"targetLatency":1500,"priority":0,
    "service":"'"$3"'","maxAttempts":2,"public":true}'
}

# configure VERSION BASE ROUTE...: sends a configuration with service "slow"
configure() {
  local version=$1 base_version=$2 routes
  shift 2
  routes=$(IFS=,; echo "$*")
  curl -sf -m 2 "http://$(orders $operator_host)/-/rpc?call=config.put" -d '{"version":'"$version"',
    "baseVersion":'"$base_version"',
    "services":[{"name":"slow","maxConnections":500}],"routes":['"$routes"']}'
}

# start_on_full_disk HOST: no file can grow; logs go through a pipe.
start_on_full_disk() {
  (
    trap '' XFSZ
    ulimit -S -f 0
    exec "$bin/jackdawhalld" --settings "$run/host$1.yaml"
  ) > >(cat >> "$run/host$1.log") 2>&1 &
  eval "daemon_pid_$1=$!"
  fleet_pids+=($!)
}
