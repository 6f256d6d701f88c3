# Shared by the cases' run.sh: settings, starts, the record and the clean end.
# Sourced from the repository's root with `case_folder` set.
# A deployment of this review: machines with addresses 127.A.B.N, the same
# ports on each, as the template deploy/daemon.yaml has them.

set -u
bin=target/bin/jackdawhalld
call=target/review/call
trouble=${TROUBLE:-1}
record=$case_folder/record.txt
started=()
declare -A pid_of=()

[ -x "$bin" ] && [ -x "$call" ] || { echo "build first"; exit 2; }
folder=$(mktemp -d)
: > "$record"

clock() { local t=${EPOCHREALTIME/,/.}; t=${t/./}; echo $((t / 1000)); }
begin=$(clock)
note() {
  local ms=$(($(clock) - begin))
  printf '%3d.%03d %s\n' $((ms / 1000)) $((ms % 1000)) "$*" | tee -a "$record"
}

end_all() {
  local pid
  for pid in "${started[@]}"; do kill -KILL "$pid" 2>> "$folder/kill.log"; done
  for pid in "${started[@]}"; do wait "$pid" 2>> "$folder/kill.log"; done
  rm -rf "$folder"
}
trap end_all EXIT

finish() { # finish CODE TEXT
  note "result: $2"
  exit "$1"
}

# Draws addresses and ports that are free on all machines.
draw_addresses() { # draw_addresses MACHINES
  local try n list
  for try in 1 2 3 4 5 6 7 8 9 10; do
    net="127.$((RANDOM % 200 + 20)).$((RANDOM % 200 + 20))"
    base=$((RANDOM % 10000 + 20000))
    list=()
    for ((n = 1; n <= $1; n++)); do
      for port in 0 1 2 3 4 5; do list+=("$net.$n:$((base + port))"); done
    done
    "$call" --free "${list[@]}" && return
  done
  finish 2 "no free ports"
}

orders() { echo "$net.$1:$base"; }
peers() { echo "$net.$1:$((base + 1))"; }
operators() { echo "$net.$1:$((base + 2))"; }
callers() { echo "$net.$1:$((base + 3))"; }
readiness() { echo "$net.$1:$((base + 4))"; }
backend() { echo "$net.$1:$((base + 5))"; }

# The template's fields for machine N; SERVICE is empty on the core.
write_settings() { # write_settings N FIRST_START [SERVICE]
  {
    echo "host: \"$net.$1\""
    echo "region: sask"
    echo "zone: sask-rgn"
    if [ -n "${3:-}" ]; then echo "roles: [call]"
    else echo "roles: [control]"; fi
    echo "listen:"
    echo "  peers: \"$(peers "$1")\""
    echo "  operators: \"$(operators "$1")\""
    echo "control_seeds: [$(orders 1), $(orders 2), $(orders 3)]"
    echo "first_start: $2"
    [ -n "${3:-}" ] || echo "data_folder: \"$folder/data$1\""
    echo "fleet_secret: \"jackdawhall-on-the-infrastructure\""
    echo "operator_token: \"jackdawhall-on-the-infrastructure\""
    echo "log: {level: info, format: json}"
    echo "max_connections: 2048"
    echo "infrastructure:"
    if [ -n "${3:-}" ]; then
      echo "  callers: \"$(callers "$1")\""
      echo "  readiness: \"$(readiness "$1")\""
    fi
    echo "  orders: \"$(orders "$1")\""
    if [ -n "${3:-}" ]; then
      echo "  beside: \"$3\""
      echo "  backend: \"$(backend "$1")\""
    fi
    echo "  lost_disks: 2"
    echo "  revoke_ms: 5000"
    echo "  in_force_ms: 2000"
    echo "  grace_s: 6"
    echo "  retry_share: 0.2"
    echo "  retry_slack: 48"
    echo "  rate_overage: 0.1"
    echo "  rate_slack: 20"
    echo "  rate_window_s: 5"
    echo "  retry_window_s: 10"
  } > "$folder/settings$1.yaml"
  [ -n "${3:-}" ] || mkdir -p "$folder/data$1"
}

start() { # start N: the daemon of machine N
  "$bin" --settings "$folder/settings$1.yaml" >> "$folder/log$1" 2>&1 &
  pid_of[$1]=$!
  started+=($!)
}

power_off() { # power_off N...: SIGKILL, all at once
  local n list=()
  for n in "$@"; do list+=("${pid_of[$n]}"); done
  kill -KILL "${list[@]}"
  for n in "$@"; do wait "${pid_of[$n]}" 2>> "$folder/kill.log"; done
}

lose_disk() { # lose_disk N: empty dataDir; the next start isn't the first
  rm -rf "$folder/data$1"
  mkdir -p "$folder/data$1"
  write_settings "$1" false
}

pause_until() { # pause_until MS: since the begin
  local left=$(($1 - ($(clock) - begin)))
  [ "$left" -gt 0 ] || return 0
  sleep "$(printf '%d.%03d' $((left / 1000)) $((left % 1000)))"
}

# put FILE MACHINE...: sends the order until it gets a clear answer from one of
# the machines, for $put_for ms at most; leaves the status in `status`.
put_for=10000
put() {
  local file=$1 until=$(($(clock) + put_for)) n
  shift
  status=none
  while [ "$(clock)" -lt "$until" ]; do
    for n in "$@"; do
      status=$("$call" "$(orders "$n")" POST "/-/rpc?call=config.put" 1000 \
        --body "$file" | head -n 1)
      case $status in
        200 | 4*) [ "$status" != 408 ] && [ "$status" != 429 ] && return ;;
      esac
    done
    sleep 0.1
  done
}

# The one that leads, by the logs: for the choice of machines only.
leader() { # leader MACHINE...
  local n best=$1 last=0 term
  for n in "$@"; do
    term=$(grep 'became leader' "$folder/log$n" | tail -n 1 |
      sed -n 's/.*"term": *"\{0,1\}\([0-9]*\).*/\1/p')
    [ "${term:-0}" -gt "$last" ] && { last=$term; best=$n; }
  done
  echo "$best"
}

# read_back N: leaves status and version of the configuration that N returns
read_back() {
  local answer
  answer=$("$call" "$(orders "$1")" POST "/-/rpc?call=config.get" 1000)
  status=${answer%%$'\n'*}
  version=$(sed -n 's/.*"version": *\([0-9]*\).*/\1/p' <<< "$answer")
}
