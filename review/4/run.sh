#!/usr/bin/env bash
# Two machines of the core lose their disks, and, after their catchUp, two
# others in a final fault. claim.txt has the rule. Exit: 1 broken, 0 held, 2
# couldn't run. TROUBLE=0: no machine fails. TROUBLE=final: only the final fault.
# Up to three rounds, each with a new fleet; it ends with the first that breaks.
cd "$(dirname "$0")/../.." || exit 2
case_folder=review/4
. review/common.sh
. review/configuration.sh

configuration 1 0 r-one,/one/,idempotent,plans > "$folder/v1.json"
configuration 2 1 r-one,/one/,idempotent,plans \
  r-two,/two/,idempotent,plans > "$folder/v2.json"

read_version_2() { # read_version_2 MS: whether it is read back in that time
  local back n line
  back=$(clock)
  while [ $(($(clock) - back)) -lt "$1" ]; do
    line=""
    for n in 1 2 3 4 5; do
      read_back $n
      line+=" $n: $status ${version:--};"
      if [ "$status" = 200 ] && [ "${version:-0}" -ge 2 ]; then
        note "config.get answered$line"
        return 0
      fi
    done
    note "config.get answered$line"
    sleep 1
  done
  return 1
}

play_round() {
  local n a b c d others=()
  draw_addresses 5
  rm -rf "$folder"/data* "$folder"/log*
  for n in 1 2 3 4 5; do write_settings $n true; done
  for n in 1 2 3 4 5; do start $n; done
  note "round $1: started the core, machines 1 to 5, first start"
  put "$folder/v1.json" 1 2 3 4 5
  note "config.put version 1 answered $status"
  [ "$status" = 200 ] || finish 2 "the first configuration wasn't taken"
  sleep 5
  a=$(leader 1 2 3 4 5)
  for n in 1 2 3 4 5; do [ $n != "$a" ] && others+=($n); done
  b=${others[0]} c=${others[1]} d=${others[2]}
  if [ "$trouble" = 1 ]; then
    power_off "$a" "$b"
    lose_disk "$a"
    lose_disk "$b"
    note "machines $a (the leader) and $b lose power and their disks"
    sleep 0.1
    start "$a"
    start "$b"
    note "machines $a and $b start with empty disks, bootstrap false"
  fi
  sleep "${GAP:-4.1}" # catchUp is 4 s
  put "$folder/v2.json" "$c" "$d" "$b" "$a"
  note "config.put version 2 answered $status"
  [ "$status" = 200 ] || finish 1 "version 2 isn't acknowledged"
  if [ "$trouble" != 0 ]; then
    power_off "$c" "$d"
    lose_disk "$c"
    lose_disk "$d"
    note "final fault: machines $c and $d lose power and their disks"
    sleep 1.4
    start "$c"
    start "$d"
    note "machines $c and $d start with empty disks, bootstrap false"
  fi
  read_version_2 45000 ||
    finish 1 "the acknowledged version 2 doesn't come back in 45 s"
  power_off 1 2 3 4 5
}

for round in 1 2 3; do play_round $round; done
finish 0 "version 2 is read back in all rounds"
