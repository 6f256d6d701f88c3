#!/usr/bin/env bash
# The operators' client against real control hosts: each command, and that wrong
# words, a conflict and a silent host end with their own status.
# Usage: client_commands.sh BIN PORT
. "$(dirname "$0")/common.sh"

# ends STATUS WORDS...: the command ends so
ends() {
  local want=$1 status=0
  shift
  ctl "$@" > "$run/out" 2>&1 || status=$?
  [ "$status" -eq "$want" ] ||
    fail "'$*' ended with $status instead of $want: $(cat "$run/out")"
}
shows() { grep -q "$1" "$run/out" || fail "no '$1' in: $(cat "$run/out")"; }

start_fleet
ends 0 account set acme --rate 5 --burst 5
shows 'accepted as revision'
ends 0 account list
shows 'acme'
ends 1 account set acme --rate 6 --burst 6 --expected_revision 99
shows 'conflict'
ends 0 key create acme first
shows 'shown only now'
ends 0 key withdraw acme/first
ends 0 key list
shows 'acme/first'
ends 0 route set plans --path /plans --service plans
ends 0 route rank plans 3
ends 0 route list
shows '/plans'
ends 0 service drain plans
ends 0 service undrain plans
ends 0 status
shows 'leader'
ends 0 history
shows 'AUTHOR'
ends 0 counters
shows 'COUNTER'
ends 0 account set late --rate 1 --burst 1 --wait
shows 'in force everywhere'
ends 0 route remove plans
ends 0 account remove late

ends 2 route rank plans 12
ends 2 account
ends 2 nonsense
status=0
"$bin/jackdawhallctl" --control "127.0.1.9:1" \
  --token_file "$run/operator.token" account list > "$run/out" 2>&1 || status=$?
[ "$status" -eq 3 ] || fail "an address without a daemon ended with $status"
