#!/usr/bin/env bash
# kill -9 of the leader while payments run and are sent again: each runs at most
# once, what is said to have run did run, and the fleet goes on.
. "$(dirname "$0")/common.sh"
set_up_usual
first=$(leader)
[ -n "$first" ] || fail "no leader"
ids=()
for i in $(seq 1 60); do
  id=$(uuid)
  ids+=("$id")
  [ "$i" -eq 20 ] && { pid=daemon_pid_$first; kill -9 "${!pid}"; }
  [ "$i" -eq 45 ] && start_daemon "$first"
  for try in 1 2 3 4 5 6; do
    host=$((RANDOM % 3 + 1))
    [ "$(pay "$host" "$id")" = ran ] && break
  done
done
ran=0
for id in "${ids[@]}"; do
  count=$(runs_of "$id")
  [ "$count" -le 1 ] || fail "payment $id ran $count times"
  ran=$((ran + count))
done
wait_for 20 is_ready "$first" || fail "host $first did not come back"
[ "$ran" -ge 50 ] || fail "only $ran of 60 payments ran"
echo "60 payments, $ran ran once, none twice"
