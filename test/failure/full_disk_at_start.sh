#!/usr/bin/env bash
# A control host that starts with an empty folder on a full disk stays up, and
# joins the others once there is room.
. "$(dirname "$0")/infrastructure.sh"

set_account() { ctl account set "$1" --rate 1 --burst 1; }
follows() {
  "$bin/jackdawhallctl" --control "$(operators 3)" \
    --token_file "$run/operator.token" account list | grep -q '^late'
}

start_fleet || fail "the fleet did not become ready"
wait_for 20 set_account early || fail "the first change"
kill -KILL "$daemon_pid_3"
wait "$daemon_pid_3" 2> /dev/null
rm -rf "$run/data3"
mkdir "$run/data3"
start_on_full_disk 3
full=$daemon_pid_3
wait_for 5 grep -q 'the disk cannot be used yet' "$run/host3.log" ||
  fail "host 3 does not say that its disk is full"
read -r -t 2.5 <> <(:)
kill -0 "$full" || fail "host 3 ended on a full disk"
prlimit --pid "$full" --fsize=unlimited || fail "prlimit"
wait_for 5 set_account late || fail "a change beside the full disk"
wait_for 10 follows || fail "host 3 did not join once there was room"
kill -0 "$full" || fail "host 3 ended"
echo "host 3 joined once its disk had room"
