#!/usr/bin/env bash
# Callers of a daemon on the users' infrastructure end their sending side behind
# their request. What ran once is answered, and what ended early is told so.
# Usage: half_closed_callers.sh BIN PORT
. "$(dirname "$0")/infrastructure.sh"
caller_host=4
server_host=5
work_ms=700

announce() { # HOST
  local sequence=0
  while kill -0 $$ 2> /dev/null; do
    sequence=$((sequence + 1))
    curl -s -m 1 -o /dev/null "http://$(orders "$1")/-/rpc?call=instances.heartbeat&of=i-$1" \
      -d '{"service":"slow","address":"'"$(backend "$1")"'","slots":64,"state":"ready","sequence":'$sequence'}'
    sleep 1
  done
}

# half_closed METHOD ROUTE NAME: prints the status line of the answer
half_closed() {
  printf '%s /%s/%s HTTP/1.1\r\nHost: a.example\r\nX-Jackdawhall-Attempt-Id: %s\r\nX-Jackdawhall-Deadline-Ms: 6000\r\nfake-sleep-ms: %s\r\nContent-Length: 0\r\n\r\n' \
    "$1" "$2" "$3" "$3" "$work_ms" |
    "$bin/half_closed_call" "$(host_ip $caller_host)" "$(callers $caller_host | cut -d: -f2)" |
    head -n 1 | tr -d '\r'
}

serves() {
  [ "$(curl -s -m 8 -o /dev/null -w '%{http_code}' -H 'Host: a.example' \
    -H "X-Jackdawhall-Attempt-Id: warm-$RANDOM" -H 'X-Jackdawhall-Deadline-Ms: 6000' \
    "http://$(callers $caller_host)/again/warm")" = 200 ]
}

for host in 1 2 3; do write_infrastructure_settings $host control; done
for host in $caller_host $server_host; do
  write_infrastructure_settings $host call slow
  start_backend "slow-$host" "$host" $((base + 5)) slow --silent --slots 64 \
    --repeated x-jackdawhall-attempt-id
done
for host in 1 2 3 4 5; do start_daemon $host; done
for host in $caller_host $server_host; do
  announce $host &
  fleet_pids+=($!)
done
wait_for 20 configure 1 0 "$(route once non_idempotent slow)" \
  "$(route again idempotent slow)" || fail "the configuration"
wait_for 20 serves || fail "host $caller_host does not serve"

for n in 1 2 3; do
  once=$(half_closed POST once "once-$n")
  [ "$once" = "HTTP/1.1 200 OK" ] || fail "once-$n was answered '$once'"
  again=$(half_closed GET again "again-$n")
  case $again in
    "HTTP/1.1 200 "* | "HTTP/1.1 502 "* | "HTTP/1.1 503 "*) ;;
    *) fail "again-$n was answered '$again'" ;;
  esac
done
echo "each half-closed caller was answered; the last: '$once', '$again'"
