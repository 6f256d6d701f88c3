#!/usr/bin/env bash
# SIGTERM cuts off no request in progress, entered here or run here; the daemon
# exits with 0.
. "$(dirname "$0")/common.sh"
set_up_usual
slow() { # HOST
  curl -s -m 10 -D "$run/head$1" -H "jackdawhall-key: $key" \
    -H 'fake-sleep-ms: 1500' "http://$(callers "$1")/plans/slow"
}
slow 1 > "$run/entered" &
a=$!
slow 3 > "$run/run" &
b=$!
read -r -t 0.5 <> <(:)
kill -TERM "$daemon_pid_1"
wait "$a" "$b"
grep -q 'plans answered' "$run/entered" || fail "the request entered here"
grep -q 'plans answered' "$run/run" || fail "the request run here"
grep -qi '^connection: close' "$run/head1" ||
  fail "the answer during the stop does not say that its connection closes"
wait "$daemon_pid_1"
status=$?
[ "$status" -eq 0 ] || fail "exit status $status"
echo "two requests finished during a planned stop; exit status 0"
