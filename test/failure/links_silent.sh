#!/usr/bin/env bash
# Links between two daemons go silent for good while new ones work, with long
# requests in progress, and one of the daemons is stopped meanwhile: each
# request at which a server was at work gets its answer, and none runs twice.
# Usage: links_silent.sh BIN PORT
. "$(dirname "$0")/relays.sh"
timeout_ms=8000
work_ms=2500
at_once=4 # requests of a kind and entry
wrong=0

ask() { # NAME HOST KIND
  local options
  set_options "$1" "$2" "$3" $work_ms "$(uuid)"
  curl "${options[@]}" >> "$run/$1.result" &
  clients+=($!)
}

all_run() { # NAME...
  local name
  for name in "$@"; do
    [ "$(runs_named "$name")" -ge 1 ] || return 1
  done
}

note_wrong() {
  echo "WRONG: $*"
  wrong=$((wrong + 1))
}

judge() { # NAME
  local result runs
  result=$(cat "$run/$1.result")
  runs=$(runs_named "$1")
  case $1 in
    *payments*) [ "$runs" -le 1 ] || note_wrong "$1 ran $runs times" ;;
  esac
  case $result in
    "$1 200 0 ran") [ "$runs" -ge 1 ] || note_wrong "$1 has not run" ;;
    *" 0 not-run"* | *" 000 7 ") # refused by a daemon that has stopped
      [ "$runs" = 0 ] || note_wrong "$1 ran and got: $result"
      ;;
    *) note_wrong "$1 ($runs runs) got: $result" ;;
  esac
}

# For three seconds; a control host that has just started may know no backend
# servers for a second.
serves_steadily() {
  local check host
  for ((check = 0; check < 12; check++)); do
    for host in 1 2 3; do
      works $host > /dev/null && serves_payments $host || return 1
    done
    read -r -t 0.25 <> <(:) || true
  done
}

# round NAME STOPPED "FROM TO"...: silences the links that FROM opened to TO
# while requests run, then stops a daemon and starts it again.
round() {
  local round=$1 stopped=$2 names=() clients=() n pair pid
  shift 2
  for ((n = 0; n < at_once; n++)); do
    ask "$round-payments-1-$n" 1 payments
    ask "$round-payments-3-$n" 3 payments
    ask "$round-plans-2-$n" 2 plans
    ask "$round-plans-3-$n" 3 plans
    names+=("$round-payments-1-$n" "$round-payments-3-$n"
      "$round-plans-2-$n" "$round-plans-3-$n")
  done
  wait_for 5 all_run "${names[@]}" || fail "the requests of $round do not run"
  for pair in "$@"; do silence $pair; done
  # Of these, some are written to links that are silent.
  for host in 1 2 3; do
    ask "$round-late-payments-$host" $host payments
    ask "$round-late-plans-$host" $host plans
    names+=("$round-late-payments-$host" "$round-late-plans-$host")
  done
  read -r -t 0.2 <> <(:)
  pid=daemon_pid_$stopped
  kill -TERM "${!pid}"
  wait "${clients[@]}"
  wait "${!pid}" || fail "exit status of host $stopped after $round"
  for n in "${names[@]}"; do judge "$n"; done
  start_daemon "$stopped"
  wait_for 60 serves_steadily || fail "the fleet does not serve after $round"
}

start_relayed_fleet $timeout_ms
round entry-stopped 3 "3 1" "3 2" "2 1"
round gate-stopped 2 "1 2" "3 2"
round both-ways 1 "1 2" "2 1" "3 1" "1 3"
grep -q 'closed: the peer is silent' "$run"/host?.log ||
  fail "no link was found silent"
[ $wrong = 0 ] || grep -H 'outcome of a forward' "$run"/host?.log
[ $wrong = 0 ] || fail "$wrong requests"
echo "each request that ran got its answer"
