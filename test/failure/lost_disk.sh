#!/usr/bin/env bash
# A control host whose data folder is gone joins again; a second one that is
# lost right after the repair takes nothing with it.
. "$(dirname "$0")/common.sh"
set_up_usual
for i in $(seq 1 100); do
  ctl account set "a$i" --rate 1 --burst 1 > /dev/null || fail "change $i"
done
votes() {
  curl -s -H "Authorization: Bearer $operator_token" \
    "http://$(operators "$1")/v1/status" |
    grep -q '"voters":\["host-1","host-2","host-3"\]'
}
for host in 2 3; do
  pid=daemon_pid_$host
  kill -9 "${!pid}"
  wait "${!pid}" 2> /dev/null
  rm -rf "$run/data$host"
  mkdir "$run/data$host"
  start_daemon "$host"
  wait_for 40 is_ready "$host" || fail "host $host is not ready again"
  read -r -t 3 <> <(:) # the leader notices the lost disk
  wait_for 40 votes "$host" || fail "host $host does not vote again"
done
count=$(ctl account list | grep -c '^a[0-9]')
[ "$count" -eq 100 ] || fail "$count of 100 accounts are left"
echo "100 accounts after two lost disks"
