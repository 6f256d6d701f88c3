#!/usr/bin/env bash
# Requests reach a daemon on the users' infrastructure from its stop signal on
# until its process is gone, on new and on kept connections. None that a server
# ran is cut without its answer, and none that was refused has run.
# Usage: stop_late_requests.sh BIN PORT [SEED]
. "$(dirname "$0")/infrastructure.sh"
RANDOM=${3:-1}
stopped=4
other=5
between_ms=60      # two requests
longest_work_ms=3000
kept_clients=4
kept_requests=25   # of a client

# A server says every second that it lives.
announce() { # HOST
  local sequence=0
  while kill -0 $$ 2> /dev/null; do
    sequence=$((sequence + 1))
    curl -s -m 1 -o /dev/null "http://$(orders "$1")/-/rpc?call=instances.heartbeat&of=i-$1" \
      -d '{"service":"slow","address":"'"$(backend "$1")"'","slots":64,"state":"ready","sequence":'$sequence'}'
    sleep 1
  done
}

# Options of one request to the daemon that is stopped; it writes a line with
# its name, the status and the curl's exit code.
request_options() { # NAME
  local method=GET route=again
  [ $((RANDOM % 2)) = 0 ] || { method=POST; route=once; }
  options=(-s -m 8 -o /dev/null -X "$method" -w "$1 %{http_code} %{exitcode}\n"
    -H 'Host: a.example' -H "X-Jackdawhall-Attempt-Id: $1"
    -H 'X-Jackdawhall-Deadline-Ms: 6000'
    -H "fake-sleep-ms: $((RANDOM % longest_work_ms))"
    "http://$(callers $stopped)/$route/$1")
}

kept_client() { # CLIENT: requests one after the other on one connection
  local n all=()
  for ((n = 0; n < kept_requests; n++)); do
    request_options "kept-$1-$n"
    [ $n = 0 ] || all+=(--next)
    all+=("${options[@]}")
  done
  curl "${all[@]}" >> "$run/kept$1.results" 2> /dev/null
}

for host in 1 2 3; do write_infrastructure_settings $host control; done
for host in $stopped $other; do
  write_infrastructure_settings $host call slow
  start_backend "slow-$host" "$host" $((base + 5)) slow --silent --slots 64 \
    --repeated x-jackdawhall-attempt-id
done
for host in 1 2 3 4 5; do start_daemon $host; done
for host in $stopped $other; do
  announce $host &
  fleet_pids+=($!)
done
wait_for 20 configure 1 0 "$(route once non_idempotent slow)" \
  "$(route again idempotent slow)" || fail "the configuration"
request_options warm
serves() { [ "$(curl "${options[@]}" | cut -d ' ' -f 2)" = 200 ]; }
wait_for 20 serves || fail "host $stopped does not serve"

clients=()
for ((c = 0; c < kept_clients; c++)); do
  kept_client $c &
  clients+=($!)
done
is_running() { kill -0 "$daemon_pid_4" 2> /dev/null; }
now_ms() { date +%s%3N; }
began=$(now_ms)
signalled=
n=0
while is_running; do
  n=$((n + 1))
  request_options "new-$n"
  curl "${options[@]}" >> "$run/new-$n.results" &
  clients+=($!)
  sleep 0.0$between_ms
  if [ -n "$signalled" ]; then
    [ $(($(now_ms) - signalled)) -lt $((grace_s * 1000)) ] || ! is_running ||
      fail "not ended in its grace time"
  elif [ $(($(now_ms) - began)) -ge 500 ]; then
    signalled=$(now_ms)
    kill -TERM "$daemon_pid_4"
  fi
done
wait "$daemon_pid_4" || fail "exit status of host $stopped"
wait "${clients[@]}"

has_run() { grep -q "^ran [A-Z]* /[a-z]*/$1 " "$run"/slow-?.log; }
runs_once() { [ "$(cat "$run"/slow-?.log | grep -c " /once/$1 ")" -le 1 ]; }
answered=0 refused=0 unread=0
while read -r name status code; do
  runs_once "$name" || fail "$name ran twice"
  case $status.$code in
    200.0)
      answered=$((answered + 1))
      has_run "$name" || fail "$name was answered and has not run"
      ;;
    429.0 | 503.0)
      refused=$((refused + 1))
      has_run "$name" && fail "$name was refused and has run"
      ;;
    000.*)
      unread=$((unread + 1))
      has_run "$name" && fail "$name ran and got no answer (curl $code)"
      ;;
    *) fail "$name: status $status, curl $code" ;;
  esac
done < <(cat "$run"/*.results)
[ $answered -gt 20 ] || fail "only $answered requests were answered"
echo "$answered answered, $refused refused, $unread not taken"
