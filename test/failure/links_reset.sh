#!/usr/bin/env bash
# All links of an entry with the gates end at once, several times, while new
# ones can be made: the requests at which servers are at work get their answers.
# Usage: links_reset.sh BIN PORT
. "$(dirname "$0")/relays.sh"
requests=8 # of a kind
resets=5
work_ms=2500
wrong=0

start_relayed_fleet 8000
clients=()
for ((n = 0; n < requests; n++)); do
  for kind in plans payments; do
    set_options "$kind-$n" 3 $kind $work_ms "$(uuid)"
    curl "${options[@]}" >> "$run/clients.results" &
    clients+=($!)
  done
done
at_work() {
  [ "$(cat "$run"/p*-?.log | grep -c '^ran .*/[a-z]*-[0-9]* ')" = $asked ]
}
asked=$((requests * 2))
wait_for 5 at_work || fail "the requests do not run"
for ((n = 0; n < resets; n++)); do
  reset_links 3 1
  reset_links 1 3
  reset_links 3 2
  reset_links 2 3
  read -r -t 0.3 <> <(:)
done
wait "${clients[@]}"
while read -r name result; do
  [ "$result" = "200 0 ran" ] && continue
  echo "WRONG: $name ($(runs_named "$name") runs) got: $result"
  wrong=$((wrong + 1))
done < "$run/clients.results"
grep -h 'outcome of a forward' "$run/host3.log"
[ $wrong = 0 ] || fail "$wrong of $asked requests were given up"
echo "$asked requests got their answers"
