#!/bin/sh
# repeat.sh N TIMES: runs case N several times, and once without the disruption; prints each exit code.
cd "$(dirname "$0")" || exit 2
printf 'case %s without the disruption: ' "$1"
TROUBLE=0 sh "$1/run.sh" > /dev/null 2>&1
echo "exit $?"
for run in $(seq "${2:-5}"); do
  sh "$1/run.sh" > "/dev/null" 2>&1
  echo "case $1, run $run: exit $?: $(tail -2 "$1/record.txt" | head -1 | cut -c11-)"
done
