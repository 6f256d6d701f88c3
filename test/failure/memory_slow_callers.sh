#!/usr/bin/env bash
# Callers that do not read their large answers fill no daemon's memory, and
# others are served meanwhile.
. "$(dirname "$0")/memory.sh"
callers=200
set_up_usual
start_faulty large $((base + 11))
read -r -t 2 <> <(:) # until it is known everywhere
print_peaks "idle"
hold_answers large $callers 20 10
check_fleet
echo "$callers answers that were not read were held in bounds"
