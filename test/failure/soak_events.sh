# What the soak does to daemons, links and backend servers. Sourced by
# links_soak.sh, which keeps in stopping[HOST or SERVER] when a process was told
# to stop. An event whose processes can't take it yet does nothing.

# Each stands here once for each part of its weight.
event_kinds=(
  silence_one_way silence_one_way silence_one_way
  silence_both_ways silence_both_ways
  drop_packets_one_way drop_packets_both_ways
  reset_one_way
  silence_server silence_server drop_packets_of_server
  slow_server slow_all_servers
  pause_daemon pause_daemon
  stop_daemon stop_two_daemons
  stop_server stop_daemon_and_server
  reload_settings reload_settings
  change_configuration change_configuration
)
pause_of_daemon_ms=1000
slow_ms=3000
changes=0

event() { echo "$(date +%T.%3N) $*" >> "$run/events.log"; }
now_ms() { echo $((${EPOCHREALTIME/./} / 1000)); }
pause_ms() {
  read -r -t "$(printf '%d.%03d' $(($1 / 1000)) $(($1 % 1000)))" <> <(:)
}
pid_of() { local pid=daemon_pid_$1; echo "${!pid}"; }

# Takes signals: it has started, and was not told to stop.
takes_signals() {
  [ -z "${stopping[$1]:-}" ] &&
    curl -sf -m 2 -o /dev/null "http://$(operators "$1")/health"
}

silence_one_way() { silence "$1" "$2"; }
silence_both_ways() { silence "$1" "$2"; silence "$2" "$1"; }
drop_packets_one_way() { drop_packets "$1" "$2"; }
drop_packets_both_ways() { drop_packets "$1" "$2"; drop_packets "$2" "$1"; }
reset_one_way() { reset_links "$1" "$2"; }

# The connections of its gate go silent for good, and new ones work.
end_connections_of_server() { # SIGNAL NAME
  echo "$(now_ms) $2" >> "$run/silenced-servers"
  kill "-$1" "${server_relay[$2]}"
}
silence_server() { end_connections_of_server USR1 "$3"; }
drop_packets_of_server() { end_connections_of_server HUP "$3"; }

slow_down() { # NAME
  server_takes_signals "$1" || return
  kill -USR1 "${server_pid[$1]}"
  (
    pause_ms $slow_ms
    grep -qs fake_backend "/proc/${server_pid[$1]}/comm" &&
      kill -USR2 "${server_pid[$1]}"
  ) &
  helpers+=($!)
}
slow_server() { slow_down "$3"; }
slow_all_servers() {
  local name
  for name in "${server_names[@]}"; do slow_down "$name"; done
}

pause_daemon() {
  takes_signals "$1" || return
  kill -STOP "$(pid_of "$1")"
  (pause_ms $pause_of_daemon_ms; kill -CONT "$(pid_of "$1")") &
  helpers+=($!)
}

stop_daemon() {
  takes_signals "$1" || return
  stopping[$1]=$SECONDS
  kill -TERM "$(pid_of "$1")"
}
stop_two_daemons() { stop_daemon "$1"; stop_daemon "$2"; }
stop_server() {
  server_takes_signals "$3" || return
  stopping[$3]=$SECONDS
  kill -TERM "${server_pid[$3]}"
}
stop_daemon_and_server() { stop_server "$1" "$2" "$3"; stop_daemon "$1"; }

reload_settings() {
  takes_signals "$1" || return
  kill -HUP "$(pid_of "$1")"
}

change_configuration() {
  changes=$((changes + 1))
  ctl route set "extra$changes" --path "/extra$changes" --service plans \
    --repeatable --timeout_ms 1500 > /dev/null 2>&1 &
  helpers+=($!)
}

# One event, at a host, towards another one, or at a server.
some_event() {
  local from=$((RANDOM % 3 + 1)) to=$((RANDOM % 2 + 1))
  local server=${server_names[RANDOM % ${#server_names[@]}]}
  local kind=${event_kinds[RANDOM % ${#event_kinds[@]}]}
  [ $to -lt $from ] || to=$((to + 1))
  event "$kind" "$from" "$to" "$server"
  "$kind" "$from" "$to" "$server"
}

restart_daemon() { # HOST
  wait "$(pid_of "$1")" || fail "seed $seed: exit status of host $1"
  start_daemon "$1"
}
restart_server() { # NAME
  wait "${server_pid[$1]}" || fail "seed $seed: exit status of server $1"
  start_server "$1"
}

# Starts what has stopped again.
restart_stopped() {
  local what pid
  for what in "${!stopping[@]}"; do
    pid=${server_pid[$what]:-}
    [ -n "$pid" ] || pid=$(pid_of "$what")
    if kill -0 "$pid" 2> /dev/null; then
      [ $SECONDS -lt $((stopping[$what] + stop_s)) ] ||
        fail "seed $seed: $what does not stop"
      continue
    fi
    event start "$what"
    unset "stopping[$what]"
    case $what in
      ?) restart_daemon "$what" ;;
      *) restart_server "$what" ;;
    esac
  done
}
