#!/usr/bin/env bash
# A control host that is stopped right after it took a change answers it, and
# one with nothing in progress ends at once.
. "$(dirname "$0")/common.sh"
write_settings 1 quebec quebec-a
write_settings 2 montreal montreal-a
write_settings 3 saguenay saguenay-a
for host in 1 2 3; do
  sed -i 's/^roles:.*/roles: [control]/' "$run/host$host.yaml"
  start_daemon "$host"
done
wait_for 20 ctl account set early --rate 10 --burst 10 ||
  fail "the first change"

received() { grep -c "change received" "$run/host1.log"; }
before=$(received)
more_received() { [ "$(received)" -gt "$before" ]; }

# Nothing is accepted while the two others stand still.
kill -STOP "$daemon_pid_2" "$daemon_pid_3"
"$bin/jackdawhallctl" --control "$(operators 1)" \
  --token_file "$run/operator.token" --output=json \
  account set late --rate 10 --burst 10 > "$run/late" 2>&1 &
change=$!
wait_for 5 more_received || fail "not received"
kill -TERM "$daemon_pid_1"
read -r -t 0.3 <> <(:)
kill -CONT "$daemon_pid_2" "$daemon_pid_3"
wait "$change" || fail "the change got no answer: $(cat "$run/late")"
wait "$daemon_pid_1" || fail "exit status of host 1"

began=$(date +%s%3N)
kill -TERM "$daemon_pid_2"
wait "$daemon_pid_2" || fail "exit status of host 2"
took=$(($(date +%s%3N) - began))
[ "$took" -lt 5000 ] || fail "an idle control host took $took ms to end"
echo "the change was answered; an idle control host ended in $took ms"
