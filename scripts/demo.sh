#!/usr/bin/env bash
# Shows the whole path on three hosts on loopback addresses; a minute at most.
set -eu
cd "$(dirname "$0")/.."
bin=${1:-build/bin}
run=$(mktemp -d)
base=18080
. scripts/fleet.sh
trap 'stop_fleet; rm -rf "$run"' EXIT

say() { printf '\n== %s\n' "$*"; }
show() { printf '$ %s\n' "$*"; "$@"; }
call() { # call HOST PATH [curl flags]
  local host=$1 path=$2
  shift 2
  printf '$ curl %s%s\n' "$(callers "$host")" "$path"
  curl -s -i "$@" "http://$(callers "$host")$path" |
    tr -d '\r' | grep -iE '^HTTP|^jackdawhall|^retry-after|^x-request|answered|verdict' || true
}

say "Three daemons start, elect a leader and become ready"
start_fleet
start_backend plans-1 1 18090 plans --echo_headers
start_backend payments-1 2 18090 payments
wait_for 10 sh -c "curl -s -H 'Authorization: Bearer $operator_token' http://$(operators 1)/v1/status | grep -q payments-1"
sleep 2
show ctl status

say "An operator creates a client account, routes and a key"
show ctl account set funeral-home --rate 5 --burst 5
show ctl route set plans --path /plans --service plans --rank 5 --repeatable
show ctl route set pay --method POST --path /payments --service payments --rank 0
show ctl key create funeral-home first
key=$(ctl --output=json key create funeral-home second | tail -1 | cut -d'"' -f4)

say "A request with the key enters at host 3 and runs beside host 1"
call 3 /plans/7 -H "jackdawhall-key: $key"

say "Without a key it is refused, and did not run"
call 3 /plans/7

say "A payment runs once, however often and wherever it is sent"
uuid=$(printf '%012x' "$(date +%s%3N)" | sed -E 's/(.{8})(.{4})/\1-\2/')-7abc-8def-0123456789ab
call 1 /payments -H "jackdawhall-key: $key" -H "idempotency-key: $uuid" -d amount=40
call 3 /payments -H "jackdawhall-key: $key" -H "idempotency-key: $uuid" -d amount=40
printf 'runs at the backend server: %s\n' "$(grep -c "key=$uuid" "$run/payments-1.log")"

say "Over its rate the account is refused, with the time to wait"
seq 1 16 | xargs -P 16 -I{} curl -s -o /dev/null -w '%{http_code} ' \
  -H "jackdawhall-key: $key" "http://$(callers 2)/plans/{}"
echo

say "The operator withdraws the key"
show ctl key withdraw funeral-home/second --wait
call 3 /plans/7 -H "jackdawhall-key: $key"

say "The fleet stops gracefully"
stop_fleet
tail -n 2 "$run/host1.log"
