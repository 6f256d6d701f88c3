#!/usr/bin/env bash
# Disks that are full for seconds, one after the other, end no changes: what was
# accepted stays, no process ends, and the next change is accepted in time.
. "$(dirname "$0")/common.sh"
# A write beyond the limit then fails, as on a full disk, and ends no process.
trap '' XFSZ

start_daemon() { # HOST: logs go through a pipe, which has no limit of size
  "$bin/jackdawhalld" --settings "$run/host$1.yaml" \
    > >(cat >> "$run/host$1.log") 2>&1 &
  eval "daemon_pid_$1=$!"
  fleet_pids+=($!)
}

pid_of() { local name=daemon_pid_$1; echo "${!name}"; }

# The next record is written in part.
fill_disk() {
  local size
  size=$(stat -c %s "$run/data$1/journal")
  prlimit --pid "$(pid_of "$1")" --fsize=$((size + 20)):unlimited ||
    fail "prlimit"
}
free_disk() { prlimit --pid "$(pid_of "$1")" --fsize=unlimited || fail "prlimit"; }

has_failed() { grep -q 'the disk failed' "$run/host$1.log"; }
set_account() {
  timeout 4 "$bin/jackdawhallctl" --control "$(control_list)" \
    --token_file "$run/operator.token" \
    account set "$1" --rate 1 --burst 1 > /dev/null 2>&1
}
accounts_at() {
  "$bin/jackdawhallctl" --control "$(operators "$1")" \
    --token_file "$run/operator.token" account list | grep -o '^a[0-9]*'
}
follows() { accounts_at "$1" | grep -q '^a999$'; }

start_fleet || fail "the fleet did not become ready"
wait_for 20 set_account a0 || fail "the first change"
accepted=(a0)
n=0
for host in $(leader) 1 2 3; do
  fill_disk "$host"
  for _ in 1 2 3 4; do
    n=$((n + 1))
    set_account "a$n" && accepted+=("a$n")
    read -r -t 0.3 <> <(:)
  done
  free_disk "$host"
  read -r -t 0.5 <> <(:)
done
for host in 1 2 3; do
  has_failed "$host" || fail "the disk of host $host was never full"
  kill -0 "$(pid_of "$host")" || fail "host $host ended"
done

began=$(date +%s%3N)
wait_for 4 set_account a999 || fail "no change after the last disk had room"
echo "accepted $(($(date +%s%3N) - began)) ms after the last disk had room"
accepted+=(a999)
for host in 1 2 3; do
  wait_for 4 follows "$host" || fail "host $host does not follow"
  for name in "${accepted[@]}"; do
    accounts_at "$host" | grep -q "^$name$" || fail "$name is lost at host $host"
  done
done
echo "${#accepted[@]} of $((n + 2)) changes accepted, none lost"
