#!/usr/bin/env bash
# Answers that never end fill no daemon's memory, and a sound server beside the
# faulty one is served meanwhile.
. "$(dirname "$0")/memory.sh"
callers=300
set_up_usual
start_faulty chunked $((base + 11))
start_faulty unbounded $((base + 13))
start_faulty unfinished $((base + 15))
read -r -t 2 <> <(:) # until they are known everywhere
print_peaks "idle"
for form in chunked unbounded unfinished; do hold_answers $form $callers 1 5; done
check_fleet
echo "$callers endless answers at a time were held in bounds"
