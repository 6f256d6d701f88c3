#!/usr/bin/env bash
# A core machine that was down while another came back with an empty disk isn't
# taken back into the group; a final fault within the tolerance then loses the
# configuration. claim.txt has the rule. Exit: 1 broken, 0 held, 2 couldn't run.
# TROUBLE=0: no machine fails. TROUBLE=final: only the final fault.
cd "$(dirname "$0")/../.." || exit 2
case_folder=review/1
. review/common.sh
. review/configuration.sh

draw_addresses 5
for n in 1 2 3 4 5; do write_settings $n true; done
for n in 1 2 3 4 5; do start $n; done
note "started the core, machines 1 to 5, first start"
configuration 1 0 r-one,/one/,idempotent,plans > "$folder/v1.json"
configuration 2 1 r-one,/one/,idempotent,plans \
  r-two,/two/,idempotent,plans > "$folder/v2.json"
put "$folder/v1.json" 1 2 3 4 5
note "config.put version 1 answered $status"
[ "$status" = 200 ] || finish 2 "the first configuration wasn't taken"
pause_until 8000

a=$(leader 1 2 3 4 5)
others=()
for n in 1 2 3 4 5; do [ $n != "$a" ] && others+=($n); done
d=${others[3]} e=${others[2]}

if [ "$trouble" = 1 ]; then
  at=$(($(clock) - begin))
  power_off "$d"
  note "machine $d (a follower) loses power"
  pause_until $((at + 1000))
  power_off "$e"
  lose_disk "$e"
  note "machine $e (a follower) loses power and its disk"
  pause_until $((at + 1500))
  start "$e"
  note "machine $e starts with an empty disk, bootstrap false"
  pause_until $((at + 6000)) # catchUp and more after that start
  power_off "$a"
  note "the process of machine $a (the leader) is killed"
  pause_until $((at + 6300))
  write_settings "$a" false
  start "$a"
  note "machine $a starts with its disk"
  pause_until $((at + 7000))
  write_settings "$d" false
  start "$d"
  note "machine $d starts with its disk, 7 s after it went down"
fi
pause_until 37000
note "calm for 22 s (catchUp is 4 s)"
put "$folder/v2.json" 1 2 3 4 5
note "config.put version 2 answered $status"
[ "$status" = 200 ] || finish 1 "version 2 isn't acknowledged"
if [ "$trouble" != 0 ]; then
  power_off "$a" "$e"
  lose_disk "$a"
  lose_disk "$e"
  note "final fault: machines $a and $e lose power and their disks"
  sleep 1.4
  start "$a"
  start "$e"
  note "machines $a and $e start with empty disks, bootstrap false"
fi
back=$(clock)
while [ $(($(clock) - back)) -lt 45000 ]; do
  line=""
  for n in 1 2 3 4 5; do
    read_back $n
    line+=" $n: $status ${version:--};"
    if [ "$status" = 200 ] && [ "${version:-0}" -ge 2 ]; then
      note "config.get answered$line"
      finish 0 "version 2 is read back"
    fi
  done
  note "config.get answered$line"
  sleep 1
done
configuration 3 2 r-one,/one/,idempotent,plans > "$folder/v3.json"
put_for=3000
put "$folder/v3.json" 1 2 3 4 5
note "config.put version 3 answered $status"
[ -z "${KEEP:-}" ] || cp -r "$folder" "$KEEP"
finish 1 "the acknowledged version 2 doesn't come back in 45 s"
