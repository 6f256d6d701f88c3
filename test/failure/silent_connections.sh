#!/usr/bin/env bash
# Connections to a backend server go silent for good while new ones work: they
# are replaced, and requests run again.
. "$(dirname "$0")/common.sh"
start_fleet || fail "the fleet did not become ready"
ip=$(host_ip 1)
"$bin/forwarder" "$ip" $((base + 11)) "$ip" $((base + 10)) &
forwarder=$!
fleet_pids+=("$forwarder")
start_backend plans-1 1 $((base + 10)) plans --announced "$ip:$((base + 11))"
ctl account set acme --rate 10000 --burst 10000 > /dev/null
ctl route set plans --path /plans --service plans --repeatable \
  --timeout_ms 1500 > /dev/null
key=$(ctl --output=json key create acme first | tail -1 | cut -d'"' -f4)
wait_for 20 works 1 || fail "host 1 does not serve"
# Several kept connections, then all of them silent.
for i in 1 2 3 4 5 6; do works 1 > /dev/null & pids[i]=$!; done
wait "${pids[@]}"
kill -USR1 "$forwarder"
for i in $(seq 1 12); do works 1 > /dev/null & pids[i]=$!; done
wait "${pids[@]}"
failed=0
for i in $(seq 1 20); do works 1 > /dev/null || { failed=$((failed + 1)); curl -s -m 5 -D - -H "jackdawhall-key: $key" "http://$(callers 1)/plans/x" >> "$run/failed.log"; }; done
[ "$failed" -le 2 ] || fail "$failed of 20 requests failed afterwards"
echo "$failed of 20 requests failed after the connections were replaced"
