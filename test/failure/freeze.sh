#!/usr/bin/env bash
# A frozen daemon holds nobody up, and when it thaws it does not serve a key
# that was withdrawn meanwhile.
. "$(dirname "$0")/common.sh"
set_up_usual
frozen=$((($(leader) % 3) + 1))
pid=daemon_pid_$frozen
kill -STOP "${!pid}"
ctl key withdraw acme/first --wait > /dev/null || fail "withdrawal refused"
kill -CONT "${!pid}"
for host in 1 2 3; do
  reason=$(curl -s -m 8 -D - -o /dev/null -H "jackdawhall-key: $key" \
    "http://$(callers "$host")/plans/x" | tr -d '\r' |
    sed -n 's/^jackdawhall-reason: //p')
  case $reason in
  key_withdrawn | no_fresh_configuration) ;;
  *) fail "host $host answered with '$reason'" ;;
  esac
done
wait_for 20 is_ready "$frozen" || fail "the thawed host is not ready again"
echo "withdrawn key refused at every host"
