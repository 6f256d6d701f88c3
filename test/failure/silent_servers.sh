#!/usr/bin/env bash
# Kept connections to sound backend servers go silent for good, before or after
# SIGTERM of their daemon, with requests at work and idle: a request at work is
# not given up before its time limit, one that meets a dead connection goes
# elsewhere if it may be repeated, and none is answered later than its limit.
# Usage: silent_servers.sh BIN PORT
. "$(dirname "$0")/relays.sh"
timeout_ms=4000
work_ms=1500
warm_ms=400 # at once, so that each gets a connection
moved_ms=2500 # to another server, from a connection found dead after 1 s
early_ms=200
late_ms=500
outcome_format='%{http_code} %{exitcode} %{time_total}'
wrong=0

start_servers() {
  local ip port name
  ip=$(host_ip 1)
  for name in plans payments; do
    [ $name = plans ] && port=$((base + 10)) || port=$((base + 11))
    "$bin/forwarder" "$ip" $((port + 7)) "$ip" $port &
    eval "${name}_relay=$!"
    fleet_pids+=($!)
    start_backend $name-1 1 $port $name --announced "$ip:$((port + 7))"
  done
  start_backend plans-3 3 $((base + 10)) plans
}

ask() { # NAME KIND WORK_MS
  local options
  set_options "$1" 1 "$2" "$3" "$(uuid)"
  options+=(-w "$1 $outcome_format %header{jackdawhall-verdict}\n")
  curl "${options[@]}" >> "$run/$1.result" &
  clients+=($!)
}

# Two kept connections to each server, one of which gets a request at work.
keep_connections() { # ROUND
  local clients=() n
  for n in 1 2; do
    ask "$1-warm-plans-$n" plans $warm_ms
    ask "$1-warm-payments-$n" payments $warm_ms
  done
  wait "${clients[@]}"
}

note_wrong() {
  echo "WRONG: $*"
  wrong=$((wrong + 1))
}

# judge NAME STATUS RUNS LEAST_MS MOST_MS: the status is a pattern
judge() {
  local name status code seconds verdict ms
  read -r name status code seconds verdict < <(tail -n 1 "$run/$1.result")
  ms=$((10#${seconds/./} / 1000))
  echo "$name: $status $verdict after $ms ms, $(runs_named "$name") runs"
  [[ $status =~ ^($2)$ ]] || note_wrong "$name: status $status"
  [ "$(runs_named "$name")" = "$3" ] || note_wrong "$name: not $3 runs"
  [ $ms -ge "$4" ] || note_wrong "$name: answered after $ms ms"
  [ $ms -le "$5" ] || note_wrong "$name: answered after $ms ms"
}

silence_servers() { kill "-$1" "$plans_relay" "$payments_relay"; }

serves() { works 1 && serves_payments 1 && works 3; }

# round NAME SIGNAL STOPPED: leaves the results of its requests
round() {
  local clients=()
  wait_for 30 serves || fail "the fleet does not serve before $1"
  keep_connections "$1"
  ask "$1-work-plans" plans $work_ms
  ask "$1-work-payments" payments $work_ms
  read -r -t 0.3 <> <(:)
  silence_servers "$2"
  read -r -t 0.05 <> <(:)
  ask "$1-late-plans" plans 0
  ask "$1-late-payments" payments 0
  read -r -t 0.2 <> <(:)
  [ "$3" = no ] || kill -TERM "$daemon_pid_1"
  wait "${clients[@]}"
  [ "$3" = no ] && return
  wait "$daemon_pid_1" || fail "exit status of host 1 after $1"
  start_daemon 1
}

judge_at_work() { # ROUND
  local least=$((timeout_ms - early_ms)) most=$((timeout_ms + late_ms))
  judge "$1-work-plans" 504 1 $least $most
  judge "$1-work-payments" 504 1 $least $most
}

start_relayed_fleet $timeout_ms
for stopped in no yes; do
  round "dead-$stopped" HUP $stopped
  judge_at_work "dead-$stopped"
  judge "dead-$stopped-late-plans" 200 1 0 $moved_ms
  judge "dead-$stopped-late-payments" "502|504" 0 0 $((timeout_ms + late_ms))
  round "silent-$stopped" USR1 $stopped
  judge_at_work "silent-$stopped"
  judge "silent-$stopped-late-plans" 504 0 $((timeout_ms - early_ms)) \
    $((timeout_ms + late_ms))
  judge "silent-$stopped-late-payments" 504 0 $((timeout_ms - early_ms)) \
    $((timeout_ms + late_ms))
done
[ $wrong = 0 ] || fail "$wrong findings"
echo "no request at work was given up, and no dead connection held one up"
