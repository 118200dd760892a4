#!/usr/bin/env bash
# Starts 3 control replicas and 9 entry VMs as processes and, except with "idle", runs a load with stand-ins against
# them. Prints the counts of the load, and with "idle" and "load" the memory, CPU and peer traffic of each process.
#
#   scripts/processes.sh idle|load|kill|freeze|replace [hooghly|office] [seconds]
#
# kill:    kills the leader with SIGKILL and restarts it; once it votes again, does the same to the next leader.
# freeze:  stops the leader with SIGSTOP, its connections open, and resumes it after another replica leads; twice.
# replace: kills the leader and restarts it with an empty disk; once it votes again, kills the next leader.
set -euo pipefail
mode=${1:-load}
example=${2:-hooghly}
seconds=${3:-20}
home=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
program="$home/bin/cassiaspindle"
folder=$(mktemp -d)
declare -A process

stop_all() {
  for name in "${!process[@]}"; do kill "${process[$name]}" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$folder"
}
trap stop_all EXIT

start() {
  "$program" "$1" --settings "$folder/$2.json" 2>>"$folder/$2.log" &
  process[$2]=$!
}

address_of() { grep -o '"listenAddress": "[^"]*"' "$folder/$1.json" | cut -d'"' -f4; }

status() { "$program" status --settings "$folder/client.json" 2>/dev/null; }

leader() { status | grep ' group=0 role=LEADER' | grep -o 'control=[^ ]*' | head -n 1 | cut -d= -f2; }

await_leader() { until [ -n "$(leader)" ]; do sleep 0.2; done; }

metrics_address() {
  case "$1" in
    entry-*) address_of "$1" ;;
    *) grep -A 2 "\"name\": \"$1\"" "$folder/client.json" | grep operatorAddress | cut -d'"' -f4 ;;
  esac
}

sent() { curl -s "http://$(metrics_address "$1")/metrics" | awk '/^cassiaspindle_peer_sent_bytes_total/ { printf "%d", $2 }'; }

ticks() { awk '{ print $14 + $15 }' "/proc/${process[$1]}/stat"; }

await_follower() { until status | grep -q "control=$1 group=0 role=FOLLOWER"; do sleep 0.2; done; }

await_voter() { until status | grep ' group=0 role=LEADER' | grep -q "voters=[^ ]*$1[, ].*learners=$"; do sleep 0.2; done; }

kill_leader() {
  local victim
  victim=$(leader)
  kill -KILL "${process[$victim]}"
  wait "${process[$victim]}" 2>/dev/null || true
  echo "event=killed control=$victim"
  [ "${1:-keep}" = keep ] || rm -r "$folder/data-$victim"
  sleep 2
  start control "$victim"
  await_follower "$victim"
  await_voter "$victim"
  echo "event=back control=$victim disk=${1:-keep}"
}

freeze_leader() {
  local victim
  victim=$(leader)
  kill -STOP "${process[$victim]}"
  echo "event=frozen control=$victim"
  sleep 4
  kill -CONT "${process[$victim]}"
  await_follower "$victim"
  echo "event=back control=$victim"
}

"$program" settings example "$folder" --example "$example" >/dev/null
for index in 0 1 2; do start control "control-$index"; done
for index in 0 1 2 3 4 5 6 7 8; do start entry "entry-$index"; done
await_leader
entries=$(for index in 0 1 2 3 4 5 6 7 8; do address_of "entry-$index"; done | paste -sd,)

load=
if [ "$mode" != idle ]; then
  CASSIASPINDLE_HEAP_MEGABYTES=512 "$program" load --settings "$folder/client.json" --entries "$entries" \
    --backend-key-file "$folder/backend.key" --example "$example" --seconds "$seconds" >"$folder/load.out" 2>"$folder/load.err" &
  load=$!
  sleep 6
fi
[ "$mode" != idle ] || sleep 15
declare -A before
declare -A sent_before
for name in "${!process[@]}"; do
  before[$name]=$(ticks "$name")
  sent_before[$name]=$(sent "$name")
done
measured=$((seconds / 2))
if [ "$mode" = kill ]; then
  kill_leader
  kill_leader
elif [ "$mode" = freeze ]; then
  freeze_leader
  freeze_leader
elif [ "$mode" = replace ]; then
  kill_leader lost
  kill_leader
else
  sleep "$measured"
  for name in $(printf '%s\n' "${!process[@]}" | sort); do
    resident=$(awk '/VmRSS/ { print int($2 / 1024) }' "/proc/${process[$name]}/status")
    used=$((($(ticks "$name") - ${before[$name]})))
    percent=$(awk -v used="$used" -v seconds="$measured" -v hertz="$(getconf CLK_TCK)" \
      'BEGIN { printf "%.2f", 100 * used / hertz / seconds }')
    bytes=$((($(sent "$name") - ${sent_before[$name]}) / measured))
    echo "process=$name mode=$mode resident_megabytes=$resident core_percent=$percent peer_bytes_a_second=$bytes"
  done
fi
result=0
if [ -n "$load" ]; then
  wait "$load" || result=$?
  tail -n 2 "$folder/load.out"
  grep -h 'error code' "$folder/load.err" || true
fi
exit "$result"
