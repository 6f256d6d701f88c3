#!/usr/bin/env bash
# Makes the three failed requests of docs/OPERATIONS.md on three hosts on
# loopback addresses, and prints the lines of the host where they entered.
# Usage: failed_requests.sh [BIN]
set -eu
cd "$(dirname "$0")/.."
bin=${1:-build/bin}
run=$(mktemp -d)
base=25000
. scripts/fleet.sh
trap 'stop_fleet; rm -rf "$run"' EXIT

start_fleet
start_backend slow-1 1 $((base + 10)) slow --slots 4 --service_ms 900
ctl account set acme --rate 2 --burst 2 > /dev/null
ctl route set slow --path /slow --service slow --repeatable --timeout_ms 400 > /dev/null
ctl route set none --path /none --service nobody --repeatable > /dev/null
key=$(ctl --output=json key create acme first | tail -1 | cut -d'"' -f4)
call() { # ID PATH [curl flags]
  local id=$1 path=$2
  shift 2
  curl -s -o /dev/null -H "jackdawhall-key: $key" -H "x-request-id: $id" "$@" \
    "http://$(callers 3)$path"
}
wait_for 10 sh -c "curl -s -o /dev/null -w '%{http_code}' -H 'jackdawhall-key: $key' http://$(callers 3)/slow/0 | grep -q 504"

pause() { read -r -t "$1" <> <(:) || true; } # seconds: the rate fills up

pause 2
call case-a /none/1 || true
pause 2
call case-b /slow/1 -H "jackdawhall-timeout-ms: 300" || true
pause 2
for i in 1 2 3 4 5 6; do call "case-c$i" /slow/1 & done
pause 2
grep 'request=case' "$run/host3.log"
curl -s "http://$(operators 3)/metrics" | grep -E '_(refusals|doubts)_total' | grep -v ' 0$'
