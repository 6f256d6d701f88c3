#!/usr/bin/env bash
# The link of an entry with a gate is reset while the gate's daemon is paused, for
# less time than after which a link counts as silent: the repeatable requests at
# which its server is at work get their answers, also those that may not be
# retried.
# Usage: links_reset_gate_paused.sh BIN PORT
. "$(dirname "$0")/relays.sh"
requests=16 # more than an account has retries at first
work_ms=2500
wrong=0

start_relayed_fleet 8000
clients=()
for ((n = 0; n < requests; n++)); do
  set_options "plans-$n" 3 plans $work_ms ""
  curl "${options[@]}" >> "$run/clients.results" &
  clients+=($!)
done
at_work() {
  [ "$(grep -c '^ran GET /plans/plans-' "$run/plans-1.log")" = $requests ]
}
wait_for 5 at_work || fail "the requests do not run"
kill -STOP "$daemon_pid_1"
reset_links 3 1
read -r -t 0.6 <> <(:)
kill -CONT "$daemon_pid_1"
wait "${clients[@]}"
while read -r name result; do
  [ "$result" = "200 0 ran" ] && continue
  echo "WRONG: $name ($(runs_named "$name") runs) got: $result"
  wrong=$((wrong + 1))
done < "$run/clients.results"
grep -h 'run cancelled' "$run/host1.log"
[ $wrong = 0 ] || fail "$wrong of $requests requests were given up"
echo "$requests requests got their answers"
