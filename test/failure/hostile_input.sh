#!/usr/bin/env bash
# 10,000 malformed HTTP requests and frames: no crash, no hang, and the daemon
# serves as before.
. "$(dirname "$0")/common.sh"
set_up_usual
"$bin/hostile_input" "$(host_ip 1)" "$base" 10000 || fail "inputs hung"
works 1 > /dev/null || fail "host 1 no longer serves"
kill -0 "$daemon_pid_1" || fail "host 1 is gone"
