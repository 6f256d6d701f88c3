# Shared by the process tests. Each is called with the folder of the programs
# and a first port of its own.
set -u
cd "$(dirname "$0")/../.."
bin=$1
base=$2
run=$(mktemp -d)
. scripts/fleet.sh
trap 'stop_fleet; rm -rf "$run"' EXIT

fail() {
  echo "FAILED: $*"
  tail -n 15 "$run"/*.log
  exit 1
}

# set_up_usual: account, key (in $key), routes, and a backend server each
set_up_usual() {
  start_fleet || fail "the fleet did not become ready"
  start_backend plans-1 1 $((base + 10)) plans
  start_backend payments-2 2 $((base + 10)) payments "$@"
  ctl account set acme --rate 10000 --burst 10000 > /dev/null || fail "account"
  ctl route set plans --path /plans --service plans --repeatable \
    --timeout_ms 3000 > /dev/null || fail "route"
  ctl route set pay --method POST --path /payments --service payments \
    --rank 0 --timeout_ms 5000 > /dev/null || fail "route"
  key=$(ctl --output=json key create acme first | tail -1 | cut -d'"' -f4)
  for host in 1 2 3; do
    wait_for 20 works "$host" || fail "host $host does not serve"
  done
}

works() {
  curl -sf -m 5 -H "jackdawhall-key: $key" "http://$(callers "$1")/plans/x"
}

uuid() {
  local hex
  hex=$(printf '%012x' "$(date +%s%3N)")
  printf '%s-%s-7%03x-8%03x-%012x\n' "${hex:0:8}" "${hex:8:4}" \
    $((RANDOM % 4096)) $((RANDOM % 4096)) $((RANDOM * 32768 + RANDOM))
}

# pay HOST UUID: prints the verdict
pay() {
  curl -s -m 8 -o /dev/null -D - -H "jackdawhall-key: $key" \
    -H "idempotency-key: $2" -d amount=40 "http://$(callers "$1")/payments" |
    tr -d '\r' | sed -n 's/^jackdawhall-verdict: //p'
}

leader() {
  ctl --output=json status |
    grep -o '"leads":true[^}]*"leader"[^,]*\|"leader":"host-[0-9]","leads":true' |
    grep -o 'host-[0-9]' | head -1 | cut -d- -f2
}

runs_of() { cat "$run"/payments-*.log | grep -c "key=$1"; }
