# A fleet whose resident memory is watched, for the process tests: faulty backend
# servers, callers that do not read, and calls to a sound server meanwhile.
# Sourced in place of common.sh.
. "$(dirname "${BASH_SOURCE[0]}")/common.sh"
# The memory of the smallest host, 160 MB, in the kernel's unit (KiB).
host_memory_kb=$((160 * 1000 * 1000 / 1024))
unanswered=0

# The address sanitizer keeps freed memory and shadows what is used: under it
# only the service is checked.
is_sanitized() { grep -q __asan_init "$bin/jackdawhalld"; }

# start_faulty FORM PORT: a server of endless_backend.cpp beside host 1, and a
# route to it, both named after the form
start_faulty() {
  local form=$1 port=$2
  "$bin/endless_backend" "$(host_ip 1)" "$port" "$form" \
    >> "$run/$form-server.log" 2>&1 &
  fleet_pids+=($!)
  start_backend "$form-1" 1 $((port + 1)) "$form" --slots 400 \
    --announced "$(host_ip 1):$port"
  ctl route set "$form" --path "/$form" --service "$form" --repeatable \
    --timeout_ms 10000 > /dev/null || fail "route"
}


# serve_during PID: calls at each host in turn, until the process has ended
serve_during() {
  local host answered=0
  while kill -0 "$1" 2> /dev/null; do
    for host in 1 2 3; do
      if works $host > /dev/null; then
        answered=$((answered + 1))
      else
        unanswered=$((unanswered + 1))
      fi
    done
    read -r -t 0.05 <> <(:) || true
  done
  echo "calls answered: $answered, not answered in all: $unanswered"
}

# hold_answers FORM CALLERS INTERVAL_MS SECONDS: at host 2, as calls go on at
# each host
hold_answers() {
  "$bin/silent_callers" "$(host_ip 2)" "$base" "/$1/a" "$key" "$2" "$3" "$4" &
  fleet_pids+=($!)
  serve_during $!
  print_peaks "$1, $2 callers"
}

peak_kb() {
  local pid=daemon_pid_$1
  sed -n 's/^VmHWM:[^0-9]*\([0-9]*\) kB/\1/p' "/proc/${!pid}/status"
}

print_peaks() {
  echo "$1: peaks so far $(peak_kb 1) $(peak_kb 2) $(peak_kb 3) kB"
}

# What the daemons must have kept to at the end of a test.
check_fleet() {
  local host pid peak
  [ $unanswered = 0 ] || fail "$unanswered calls to the sound server"
  for host in 1 2 3; do
    pid=daemon_pid_$host
    kill -0 "${!pid}" || fail "host $host is gone"
    peak=$(peak_kb $host)
    is_sanitized || [ "$peak" -le $host_memory_kb ] ||
      fail "host $host held $peak kB of at most $host_memory_kb kB"
  done
}
