#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. With TROUBLE=0 the disruption is left out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review-2/poison
if [ ! -x target/bin/jackdawhalld ] || [ ! -x "$program" ]; then
  echo "build with the deploy file's command and review/build-2.sh first"
  exit 2
fi
"$program" "$here/record.txt"
status=$?
tail -n 5 "$here/record.txt"
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
