#!/usr/bin/env bash
# Settings are read again on SIGHUP, and when their file changes without one; a
# file that is not valid changes nothing and is named in the log.
# Usage: settings_reload.sh BIN PORT
. "$(dirname "$0")/common.sh"

says() { # TEXT COUNT: host 1 has logged TEXT at least COUNT times
  [ "$(grep -c "$1" "$run/host1.log")" -ge "$2" ]
}

start_fleet
kill -HUP "$daemon_pid_1"
wait_for 5 says "settings read again" 1 || fail "settings read again"

sed -i 's/{host: host-3,.*/{host: host-3, peers: 127.0.1.9:1}/' "$run/host1.yaml"
wait_for 5 says "settings read again" 2 || fail "settings read again"

cp "$run/host1.yaml" "$run/good.yaml"
echo "no_such_key: 1" >> "$run/host1.yaml"
wait_for 5 says "settings not taken" 1 || fail "settings not taken"
sleep 1.5
says "settings read again" 3 && fail "took settings that are not valid"

cp "$run/good.yaml" "$run/host1.yaml"
wait_for 5 says "settings read again" 3 || fail "settings read again"
curl -sf "http://$(operators 1)/health" > /dev/null || fail "host 1 is gone"
