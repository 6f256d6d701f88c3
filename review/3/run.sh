#!/usr/bin/env bash
# A core machine that loses its disk after many changes of a large
# configuration never joins again. claim.txt has the rule. Exit: 1 broken, 0
# held, 2 couldn't run. TROUBLE=0: no machine fails. TROUBLE=final: only the
# final fault.
cd "$(dirname "$0")/../.." || exit 2
case_folder=review/3
. review/common.sh
. review/configuration.sh
routes=${ROUTES:-1386} changes=${CHANGES:-180}

draw_addresses 5
for n in 1 2 3 4 5; do write_settings $n true; done
for n in 1 2 3 4 5; do start $n; done
note "started the core, machines 1 to 5, first start"
list=()
for ((i = 1; i <= routes; i++)); do
  list+=("r-$i,/some-path-$i/,idempotent,plans")
done
configuration @version @base "${list[@]}" > "$folder/template.json"
configure() { # configure VERSION BASE
  sed "s/@version/$1/; s/@base/$2/; s/\"timeout\":6000/\"timeout\":$((5000 + $1))/" \
    "$folder/template.json" > "$folder/next.json"
}
configure 1 0
put "$folder/next.json" 1 2 3 4 5
note "config.put version 1, $routes routes, $(stat -c %s "$folder/next.json")" \
  "bytes, answered $status"
[ "$status" = 200 ] || finish 2 "the first configuration wasn't taken"
a=$(leader 1 2 3 4 5)
for ((v = 2; v <= changes; v++)); do
  configure $v $((v - 1))
  put "$folder/next.json" "$a" 1 2 3 4 5
  [ "$status" = 200 ] || finish 2 "version $v was answered $status"
done
note "config.put versions 2 to $changes answered 200"
note "resident memory of the leader: $(awk '/VmRSS/ {print $2 $3}' \
  "/proc/${pid_of[$a]}/status"), its disk: $(du -sk "$folder/data$a" | cut -f 1)kB"
a=$(leader 1 2 3 4 5)
others=()
for n in 1 2 3 4 5; do [ $n != "$a" ] && others+=($n); done
b=${others[0]} c=${others[1]}
if [ "$trouble" = 1 ]; then
  power_off "$b"
  lose_disk "$b"
  note "machine $b (a follower) loses power and its disk"
  sleep 1
  start "$b"
  note "machine $b starts with an empty disk, bootstrap false"
fi
sleep 12
note "calm for 12 s (catchUp is 4 s)"
v=$((changes + 1))
configure $v $changes
put "$folder/next.json" "$a" 1 2 3 4 5
note "config.put version $v answered $status"
[ "$status" = 200 ] || finish 1 "version $v isn't acknowledged"
if [ "$trouble" != 0 ]; then
  power_off "$a" "$c"
  lose_disk "$a"
  lose_disk "$c"
  note "final fault: machines $a and $c lose power and their disks"
  sleep 1.4
  start "$a"
  start "$c"
  note "machines $a and $c start with empty disks, bootstrap false"
fi
back=$(clock)
while [ $(($(clock) - back)) -lt 30000 ]; do
  line=""
  for n in 1 2 3 4 5; do
    read_back $n
    line+=" $n: $status ${version:--};"
    if [ "$status" = 200 ] && [ "${version:-0}" -ge $v ]; then
      note "config.get answered$line"
      finish 0 "version $v is read back"
    fi
  done
  note "config.get answered$line"
  sleep 1
done
[ -z "${KEEP:-}" ] || cp -r "$folder"/log* "$KEEP"
finish 1 "the acknowledged version $v doesn't come back in 30 s"
