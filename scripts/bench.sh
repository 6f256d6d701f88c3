#!/usr/bin/env bash
# Measures and writes docs/results/: the latency that the path adds, memory, and
# the policy under a surge against no control. Real daemons on loopback
# addresses, fake backend servers, an open-loop caller; about three minutes.
# Usage: bench.sh BIN
set -eu
cd "$(dirname "$0")/.."
bin=$1
run=$(mktemp -d)
base=23000
results=docs/results
mkdir -p "$results"
. scripts/fleet.sh
trap 'stop_fleet; rm -rf "$run"' EXIT

quantiles() { # FILE STREAM: count, p50, p90, p99 in microseconds of status 200
  awk -F, -v s="$2" '$1 == s && $4 == 200 { print $3 }' "$1" | sort -n |
    awk '{ v[NR] = $1 } END { if (NR) print NR, v[int(NR * .5) + 1], v[int(NR * .9) + 1], v[int(NR * .99) + 1] }'
}
memory_kib() { awk '/VmRSS/ { print $2 }' "/proc/$1/status"; }
make_key() { ctl --output=json key create "$1" first | tail -1 | cut -d'"' -f4; }

# --- The latency that the path adds, and memory

latency() {
  start_fleet
  start_backend echo-1 1 $((base + 10)) echo --slots 64
  ctl account set acme --rate 100000 --burst 100000 > /dev/null
  ctl route set echo --path /echo --service echo --repeatable > /dev/null
  key=$(make_key acme)
  wait_for 20 curl -sf -H "jackdawhall-key: $key" "http://$(callers 3)/echo"
  local at_rest
  at_rest=$(memory_kib "$daemon_pid_3")
  for rate in 75 500; do
    cat > "$run/latency.yaml" <<EOF
seed: 1
seconds: 20
streams:
  - {name: direct, targets: ["$(host_ip 1):$((base + 10))"], path: /echo, rate: $rate}
  - {name: same-host, targets: ["$(callers 1)"], path: /echo, key: "$key", rate: $rate}
  - {name: two-hosts, targets: ["$(callers 3)"], path: /echo, key: "$key", rate: $rate}
EOF
    "$bin/load" --profile "$run/latency.yaml" --out "$run/latency.csv"
    for stream in direct same-host two-hosts; do
      echo "rate=$rate stream=$stream $(quantiles "$run/latency.csv" $stream)"
    done
  done
  cat > "$run/many.yaml" <<EOF
seed: 2
seconds: 50
streams:
  - {name: many, targets: ["$(callers 3)"], path: /echo, key: "$key", rate: 2000}
EOF
  "$bin/load" --profile "$run/many.yaml" --out "$run/many.csv"
  echo "memory_kib at_rest=$at_rest after_$(wc -l < "$run/many.csv")_requests=$(memory_kib "$daemon_pid_3")"
  stop_fleet
}

# --- A surge to ten times for ten seconds, on three servers of 4 slots

# streams TARGETS KEYS: four accounts, each with lookups and payments
streams() {
  local targets=$1 i
  for i in 0 1 2 3; do
    cat <<EOF
  - name: lookup-$i
    targets: [$targets]
    path: /lookup
    key: "${keys[i]}"
    rate: 20
    retries: 3
    timeout_ms: "1000"
    phases: [{begins_s: 10, factor: 10}, {begins_s: 20, factor: 1}]
  - name: pay-$i
    targets: [$targets]
    path: /pay
    key: "${keys[i]}"
    rate: 5
    retries: 3
    timeout_ms: "1000"
    phases: [{begins_s: 10, factor: 4}, {begins_s: 20, factor: 1}]
EOF
  done
}

# Served share and goodput by phase; the second after the surge from which on
# every second serves 99 % again.
summarize() { # FILE
  awk -F, '
    { phase = $2 < 10000 ? "before" : ($2 < 20000 ? "surge" : "after")
      kind = substr($1, 1, 3); sent[kind, phase]++
      good = $4 == 200 && $3 <= 1000000
      if (good) { ok[kind, phase]++; total[phase]++ }
      second = int($2 / 1000); s[second]++; g[second] += good
      if (phase == "surge" && kind == "loo") { as[$1]++; ag[$1] += good } }
    END {
      last = 20
      for (i = 20; i < 35; i++) if (s[i] && g[i] < .99 * s[i]) last = i + 1
      worst = 1e9; best = 0
      for (a in as) { share = ag[a] / as[a]; if (share < worst) worst = share; if (share > best) best = share }
      printf "goodput_per_s before=%.0f surge=%.0f after=%.0f pay_served surge=%.4f lookup_served surge=%.4f recovery_s=%d worst_over_best_account=%.3f\n",
        total["before"] / 10, total["surge"] / 10, total["after"] / 15,
        ok["pay", "surge"] / sent["pay", "surge"], ok["loo", "surge"] / sent["loo", "surge"],
        last - 20, best ? worst / best : 0 }' "$1"
}

surge() { # controlled | none
  start_fleet
  local host targets=""
  for host in 1 2 3; do
    start_backend "work-$host" "$host" $((base + 10)) work --slots 4 --service_ms 40
  done
  ctl route set lookup --path /lookup --service work --rank 5 --repeatable > /dev/null
  ctl route set pay --path /pay --service work --rank 0 --repeatable > /dev/null
  keys=()
  for i in 0 1 2 3; do
    ctl account set "a$i" --rate 100000 --burst 100000 > /dev/null
    keys+=("$(make_key "a$i")")
  done
  for host in 1 2 3; do
    wait_for 20 curl -sf -H "jackdawhall-key: ${keys[0]}" "http://$(callers "$host")/lookup"
    if [ "$1" = none ]; then
      targets+="\"$(host_ip "$host"):$((base + 10))\","
    else
      targets+="\"$(callers "$host")\","
    fi
  done
  { echo "seed: 3"; echo "seconds: 35"; echo "streams:"; streams "${targets%,}"; } > "$run/surge.yaml"
  "$bin/load" --profile "$run/surge.yaml" --out "$run/surge-$1.csv"
  echo "control=$1 $(summarize "$run/surge-$1.csv")"
  stop_fleet
}

{
  echo "# $(nproc) cores; rates a second; count p50 p90 p99 in microseconds"
  latency
} | tee "$results/latency.txt"
{
  echo "# capacity 3 servers x 4 slots / 40 ms = 300 a second; surge 880 a second"
  surge none
  surge controlled
} | tee "$results/surge.txt"
{
  echo "# bench/slopes"
  "$bin/slopes"
} | tee "$results/slopes.txt"
