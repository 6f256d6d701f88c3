#!/usr/bin/env bash
# A control host whose seeds change while its disk is full joins by the new ones
# once there is room.
. "$(dirname "$0")/infrastructure.sh"

gone='"127.0.1.9:1"'
new=4

for host in 1 2 3; do
  write_infrastructure_settings $host control
  start_daemon $host
done
wait_for 20 configure 1 0 "$(route once non_idempotent slow)" ||
  fail "the configuration"
write_infrastructure_settings $new control
cp "$run/host$new.yaml" "$run/good.yaml"
sed -i "s/^control_seeds:.*/control_seeds: [$gone]/; s/^first_start:.*/first_start: false/" \
  "$run/host$new.yaml"
start_on_full_disk $new
says() { grep -q "$1" "$run/host$new.log"; }
wait_for 5 says 'the disk cannot be used yet' || fail "the disk was not full"
sed 's/^first_start:.*/first_start: false/' "$run/good.yaml" \
  > "$run/host$new.yaml"
wait_for 5 says 'settings read again' || fail "settings not read again"
prlimit --pid "$daemon_pid_4" --fsize=unlimited || fail "prlimit"
reads() {
  curl -sf -m 1 -X POST "http://$(orders $new)/-/rpc?call=config.get" |
    grep -q '"version":1'
}
wait_for 10 reads || fail "host $new did not join by its new seeds"
echo "host $new joined by seeds that it read while its disk was full"
