#!/usr/bin/env bash
# A leader that is stopped tells the outcome of a change that another control
# host forwarded to it.
. "$(dirname "$0")/infrastructure.sh"
lost_disks=2 # a change needs all three disks

for host in 1 2 3; do
  write_infrastructure_settings $host control
  start_daemon $host
done
wait_for 20 configure 1 0 "$(route first idempotent slow)" ||
  fail "the configuration"
leader=$(grep -l 'became leader' "$run"/host?.log | head -n 1 |
  sed 's/.*host\(.\).log/\1/')
asked=$((leader % 3 + 1))
frozen=$((asked % 3 + 1))
pid_of() { local name=daemon_pid_$1; echo "${!name}"; }

kill -STOP "$(pid_of $frozen)"
operator_host=$asked
configure 2 1 "$(route second idempotent slow)" > "$run/answer" &
change=$!
is_received() { grep -q 'document received' "$run/host$asked.log"; }
wait_for 5 is_received || fail "not received"
read -r -t 0.2 <> <(:)
kill -TERM "$(pid_of "$leader")"
read -r -t 0.3 <> <(:)
kill -CONT "$(pid_of $frozen)"
wait $change || fail "the operator got no acknowledgement from host $asked"
wait "$(pid_of "$leader")" || fail "exit status of host $leader"
echo "the change that host $asked forwarded was acknowledged over the stop"
