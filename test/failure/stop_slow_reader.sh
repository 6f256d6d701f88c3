#!/usr/bin/env bash
# A planned stop waits for a caller that reads its answer late.
. "$(dirname "$0")/common.sh"
set_up_usual
bytes=7000000

exec 5<> "/dev/tcp/$(host_ip 1)/$base"
printf 'GET /plans/large HTTP/1.1\r\nhost: a\r\n%s: %s\r\n%s: %s\r\n\r\n' \
  jackdawhall-key "$key" fake-body-bytes "$bytes" >&5
read -r -t 0.5 <> <(:)
kill -TERM "$daemon_pid_1"
read -r -t 2 <> <(:)
timeout 20 cat <&5 > "$run/late"
size=$(stat -c %s "$run/late")
[ "$size" -gt $bytes ] || fail "$size of over $bytes bytes"
wait "$daemon_pid_1" || fail "exit status of host 1"
echo "a late reader got its answer over a planned stop"
