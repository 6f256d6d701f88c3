#!/usr/bin/env bash
# Links go silent or are reset, daemons are stopped and started again, settings
# are read again and the configuration changes, in an order made from a seed. No
# key runs twice, nothing that ran is said not to have run or given up, and each
# request is answered. With KEEP=FOLDER, the logs are copied there.
# Usage: links_soak.sh BIN PORT [SEED [SECONDS]]
. "$(dirname "$0")/relays.sh"
seed=${3:-1}
RANDOM=$seed
timeout_ms=6000
longest_work_ms=2500
clients_per_host=3
requests_on_a_connection=6
soak_s=${4:-20}
longest_pause_ms=800
stop_s=40 # the drain period, and some more
wrong=0

# kept_client HOST NUMBER: connections of a few requests each, one after the
# other, until the soak ends. A payment may be sent again, with its key.
kept_client() {
  local name kind payment pay_key batch=0 n options all
  RANDOM=$((seed * 100 + $1 * 10 + $2))
  while [ ! -e "$run/over" ] && kill -0 $$ 2> /dev/null; do
    all=()
    batch=$((batch + 1))
    for ((n = 0; n < requests_on_a_connection; n++)); do
      name="c$1-$2-$batch-$n"
      kind=plans
      if [ $((RANDOM % 2)) = 0 ]; then
        kind=payments
        if [ -n "${payment:-}" ] && [ $((RANDOM % 4)) = 0 ]; then
          name=$payment
        else
          payment=$name
          pay_key=$(uuid)
        fi
      fi
      set_options "$name" "$1" $kind $((RANDOM % longest_work_ms)) \
        "${pay_key:-}"
      [ $n = 0 ] || all+=(--next)
      all+=("${options[@]}")
    done
    curl "${all[@]}" >> "$run/client-$1-$2.results" 2> /dev/null
    read -r -t 0.2 <> <(:)
  done
}

pause_ms() {
  read -r -t "$(printf '%d.%03d' $(($1 / 1000)) $(($1 % 1000)))" <> <(:)
}

event() { echo "$(date +%T.%3N) $*" >> "$run/events.log"; }

pid_of() { local pid=daemon_pid_$1; echo "${!pid}"; }

# Takes signals: it has started, and was not told to stop.
takes_signals() {
  [ -z "${stopping[$1]:-}" ] &&
    curl -sf -m 2 -o /dev/null "http://$(operators "$1")/health"
}

# Starts the daemons again that have stopped.
restart_stopped() {
  local host
  for host in "${!stopping[@]}"; do
    if kill -0 "$(pid_of "$host")" 2> /dev/null; then
      [ $SECONDS -lt $((stopping[$host] + stop_s)) ] ||
        fail "seed $seed: host $host does not stop"
      continue
    fi
    wait "$(pid_of "$host")" || fail "seed $seed: exit status of host $host"
    event start "$host"
    unset "stopping[$host]"
    start_daemon "$host"
  done
}

some_event() {
  local from=$((RANDOM % 3 + 1)) to=$((RANDOM % 2 + 1)) kind=$((RANDOM % 16))
  [ $to -lt $from ] || to=$((to + 1))
  case $kind in
    [0-5]) event silence $from $to; silence $from $to ;;
    [6-8])
      event silence $from $to both ways
      silence $from $to
      silence $to $from
      ;;
    9 | 10) event reset $from $to; reset_links $from $to ;;
    11 | 12)
      takes_signals $from || return
      event stop $from
      stopping[$from]=$SECONDS
      kill -TERM "$(pid_of $from)"
      ;;
    13)
      takes_signals $from || return
      event reload $from
      kill -HUP "$(pid_of $from)"
      ;;
    14 | 15)
      changes=$((changes + 1))
      event change $changes
      ctl route set "extra$changes" --path "/extra$changes" --service plans \
        --repeatable --timeout_ms 1500 > /dev/null 2>&1 &
      clients+=($!)
      ;;
  esac
}

note_wrong() {
  echo "WRONG (seed $seed): $*"
  wrong=$((wrong + 1))
}

judge_result() { # NAME STATUS EXIT_CODE VERDICT...
  case "$2 $3 $4" in
    "200 0 ran") ran=$((ran + 1)); may_have_run[$1]=yes ;;
    "502 0 may-have-run")
      given_up=$((given_up + 1)); may_have_run[$1]=yes
      [ "$(runs_named "$1")" = 0 ] || note_wrong "$1 ran and was given up"
      ;;
    "504 0 may-have-run") late=$((late + 1)); may_have_run[$1]=yes ;;
    [45]??" 0 not-run") not_run=$((not_run + 1)) ;;
    "000 7 ") refused=$((refused + 1)) ;; # by a daemon that has stopped
    "000 52 " | "000 56 ") # not read by a daemon that stopped
      unread=$((unread + 1))
      [ "$(runs_named "$1")" = 0 ] || note_wrong "$1 ran and got: $*"
      ;;
    *) note_wrong "$1 ($(runs_named "$1") runs) got: $*" ;;
  esac
}

judge() {
  local all=() name twice ran_name='s/^ran .*\/\(c[0-9-]*\) key=.*/\1/p'
  while read -r -a all; do
    judge_result "${all[0]}" "${all[1]}" "${all[2]}" "${all[3]:-}"
  done < <(cat "$run"/client-*.results)
  for name in $(sed -n "$ran_name" "$run"/p*-?.log); do
    [ -n "${may_have_run[$name]:-}" ] || note_wrong "$name ran and got not-run"
  done
  twice=$(sed -n 's/^ran POST .* key=//p' "$run"/payments-?.log | sort |
    uniq -d)
  [ -z "$twice" ] || note_wrong "keys that ran twice: $twice"
}

start_relayed_fleet $timeout_ms
start_backend plans-3 3 $((base + 10)) plans --slots 64
start_backend payments-3 3 $((base + 11)) payments --slots 64
clients=() stopping=() changes=0 ran=0 given_up=0 late=0 not_run=0
refused=0 unread=0
declare -A may_have_run
for host in 1 2 3; do
  for ((n = 0; n < clients_per_host; n++)); do
    kept_client $host $n &
    clients+=($!)
  done
done
end=$((SECONDS + soak_s))
while [ $SECONDS -lt $end ]; do
  pause_ms $((RANDOM % longest_pause_ms + 20))
  restart_stopped
  some_event
done
while [ ${#stopping[@]} -gt 0 ]; do
  restart_stopped
  pause_ms 100
done
touch "$run/over"
wait "${clients[@]}"
for host in 1 2 3; do
  wait_for 30 works $host || fail "seed $seed: host $host serves no plans"
  wait_for 30 serves_payments $host ||
    fail "seed $seed: host $host serves no payments"
done
judge
echo "seed $seed: $ran answered, $not_run not run, $refused refused," \
  "$unread unread, $given_up given up, $late too late," \
  "$(wc -l < "$run/events.log") events"
[ -z "${KEEP:-}" ] || cp -r "$run" "$KEEP"
[ $wrong = 0 ] || fail "seed $seed: $wrong findings"
[ $ran -gt 20 ] || fail "seed $seed: only $ran requests were answered"
