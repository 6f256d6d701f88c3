#!/usr/bin/env bash
# A gate that is stopped delivers an answer to the daemon that forwarded the
# call, though that one does not read while the gate's last run ends.
. "$(dirname "$0")/common.sh"
set_up_usual
bytes=7000000

curl -s -m 20 -D "$run/head" -H "jackdawhall-key: $key" \
  -H "idempotency-key: $(uuid)" -H "fake-body-bytes: $bytes" \
  -H 'fake-sleep-ms: 300' -d amount=40 -o "$run/forwarded" \
  "http://$(callers 3)/payments" &
caller=$!
wait_for 5 grep -q '^ran POST' "$run/payments-2.log" || fail "not forwarded"
# For less than 1.5 s, after which a link counts as silent.
kill -STOP "$daemon_pid_3"
kill -TERM "$daemon_pid_2"
read -r -t 1.05 <> <(:)
kill -CONT "$daemon_pid_3"
wait "$caller"
verdict=$(tr -d '\r' < "$run/head" | sed -n 's/^jackdawhall-verdict: //p')
[ "$verdict" = ran ] || fail "the answer to another daemon: '$verdict'"
[ "$(stat -c %s "$run/forwarded")" -gt $bytes ] || fail "the answer is cut"
wait "$daemon_pid_2" || fail "exit status of host 2"
echo "the daemon got the answer over a planned stop of the gate"
