# Daemons whose links go through relays, for the process tests. Hosts are named
# by their address, so a daemon connects to the peers' port that it has itself;
# each has another, and a relay for each ordered pair of hosts stands between.
# Sourced in place of common.sh.
. "$(dirname "${BASH_SOURCE[0]}")/common.sh"

peers() { echo "$(host_ip "$1"):$((base + 13 + $1))"; }

write_settings() { # HOST REGION ZONE
  mkdir -p "$run/data$1"
  (umask 077; echo "$operator_token" > "$run/operator.token")
  cat > "$run/host$1.yaml" <<YAML
host: "$(host_ip "$1")"
region: $2
zone: $3
roles: [call, control]
listen:
  callers: "$(callers "$1")"
  peers: "$(peers "$1")"
  operators: "$(operators "$1")"
control_seeds: ["$(operators 1)", "$(operators 2)", "$(operators 3)"]
first_start: true
data_folder: data$1
fleet_secret: "$fleet_secret"
operator_token: "$operator_token"
log: {level: info, format: text}
YAML
}

# The relay of the links that FROM opens to TO; its process id is left in
# relay_FROM_TO.
start_relay() { # FROM TO
  "$bin/forwarder" "$(host_ip "$2")" $((base + 13 + $1)) \
    "$(host_ip "$2")" $((base + 13 + $2)) &
  eval "relay_$1_$2=$!"
  fleet_pids+=($!)
}

signal_relay() { # SIGNAL FROM TO
  local name=relay_$2_$3
  kill "-$1" "${!name}"
}

# The links that FROM opened to TO go silent for good, acknowledging bytes or not,
# or are reset.
silence() { signal_relay USR1 "$1" "$2"; }
drop_packets() { signal_relay HUP "$1" "$2"; }
reset_links() { signal_relay USR2 "$1" "$2"; }

# A backend server each for plans (host 1) and payments (host 2).
start_servers() {
  start_backend plans-1 1 $((base + 10)) plans --slots 64
  start_backend payments-2 2 $((base + 10)) payments --slots 64
}

# start_relayed_fleet TIMEOUT_MS: account, key (in $key), routes, and backend
# servers
start_relayed_fleet() {
  local from to host
  for from in 1 2 3; do
    for to in 1 2 3; do
      [ $from = $to ] || start_relay $from $to
    done
  done
  start_fleet || fail "the fleet did not become ready"
  start_servers
  ctl account set acme --rate 10000 --burst 10000 > /dev/null || fail "account"
  ctl route set plans --path /plans --service plans --repeatable \
    --timeout_ms "$1" > /dev/null || fail "route"
  ctl route set pay --method POST --path /payments --service payments \
    --rank 0 --timeout_ms "$1" > /dev/null || fail "route"
  key=$(ctl --output=json key create acme first | tail -1 | cut -d'"' -f4)
  for host in 1 2 3; do
    wait_for 20 works "$host" || fail "host $host does not serve plans"
    wait_for 20 serves_payments "$host" || fail "host $host serves no payments"
  done
}

serves_payments() { [ "$(pay "$1" "$(uuid)")" = ran ]; }

# set_options NAME HOST KIND SLEEP_MS UUID: options of one request, plans or
# payments, whose path ends in NAME; it writes a line with its name, status,
# exit code and verdict.
set_options() {
  options=(-s -m 12 -o /dev/null
    -w "$1 %{http_code} %{exitcode} %header{jackdawhall-verdict}\n"
    -H "jackdawhall-key: $key" -H "fake-sleep-ms: $4"
    "http://$(callers "$2")/$3/$1")
  [ "$3" = plans ] || options+=(-d amount=40 -H "idempotency-key: $5")
}

runs_named() { cat "$run"/p*-?.log | grep -c "^ran [A-Z]* /[a-z]*/$1 "; }
