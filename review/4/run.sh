#!/usr/bin/env bash
# The acknowledgement of one operator's change is given to another operator's.
# claim.txt has the rule. Exit: 1 broken, 0 held, 2 couldn't run.
# TROUBLE=0: no machine is frozen or killed.
cd "$(dirname "$0")/../.." || exit 2
case_folder=review/4
. review/common.sh
. review/configuration.sh

draw_addresses 5
for n in 1 2 3 4 5; do write_settings $n true; done
for n in 1 2 3 4 5; do start $n; done
note "started the core, machines 1 to 5, first start"
configuration 1 0 r-one,/one/,idempotent,plans > "$folder/v1.json"
configuration 2 1 r-one,/one/,idempotent,plans \
  r-two,/two/,idempotent,plans > "$folder/x.json"
configuration 3 1 r-one,/one/,idempotent,plans \
  r-three,/three/,idempotent,plans > "$folder/y.json"
put "$folder/v1.json" 1 2
note "config.put version 1 answered $status"
[ "$status" = 200 ] || finish 2 "the first configuration wasn't taken"
pause_until 8000

a=$(leader 1 2 3 4 5)
others=()
for n in 5 4 3 2 1; do [ $n != "$a" ] && others+=($n); done
f=${others[0]}
frozen=()
for n in "${others[@]:1}"; do frozen+=("${pid_of[$n]}"); done

send_once() { # send_once FILE MACHINE: prints the status
  "$call" "$(orders "$2")" POST "/-/rpc?call=config.put" 1000 --body "$1" |
    head -n 1
}

at=$(($(clock) - begin))
if [ "$trouble" = 1 ]; then
  kill -STOP "${frozen[@]}"
  note "machines ${others[*]:1} freeze; machine $a leads"
fi
send_once "$folder/x.json" "$f" > "$folder/x.status" &
x=$!
note "operator 1 sends version 2 on base 1 to machine $f"
if [ "$trouble" = 1 ]; then
  pause_until $((at + 80))
  power_off "$f"
  note "the process of machine $f is killed"
  write_settings "$f" false
  start "$f"
  note "machine $f starts with its disk"
fi
pause_until $((at + 600))
send_once "$folder/y.json" "$f" > "$folder/y.status" &
y=$!
note "operator 2 sends version 3 on base 1 to machine $f"
if [ "$trouble" = 1 ]; then
  pause_until $((at + 800))
  kill -CONT "${frozen[@]}"
  note "the frozen machines wake"
fi
wait $x $y
x_status=$(cat "$folder/x.status")
y_status=$(cat "$folder/y.status")
note "operator 1 got $x_status, operator 2 got $y_status"

# As the pages say, an order without a clear answer is sent again unchanged.
case $x_status in
  200 | 400 | 409 | 412 | 413 | 422) ;;
  *)
    put "$folder/x.json" "$a" 1 2 3 4 5
    x_status=$status
    note "operator 1 sends version 2 again: $x_status"
    ;;
esac
case $y_status in
  200 | 400 | 409 | 412 | 413 | 422) ;;
  *)
    put "$folder/y.json" "$a" 1 2 3 4 5
    y_status=$status
    note "operator 2 sends version 3 again: $y_status"
    ;;
esac
sleep 6
for n in 1 2 3 4 5; do
  read_back $n
  note "config.get at machine $n answered $status, version ${version:--}"
done
[ -z "${KEEP:-}" ] || cp -r "$folder" "$KEEP"
if [ "$x_status" = 200 ] && [ "$y_status" = 200 ]; then
  finish 1 "two changes on top of version 1 are both acknowledged"
fi
finish 0 "one of the two changes won"
