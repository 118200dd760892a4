#!/usr/bin/env bash
# Starts 3 control replicas and 9 entry VMs as processes, and a load with stand-ins against them. With "kill" the leader
# is killed with SIGKILL under the load, then the next leader as soon as the first is back. Prints what the load counted
# and what each process took.
#
#   scripts/processes.sh idle|load|kill [hooghly|office] [seconds]
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

kill_leader() {
  local victim
  victim=$(leader)
  kill -KILL "${process[$victim]}"
  wait "${process[$victim]}" 2>/dev/null || true
  echo "event=killed control=$victim"
  sleep "$1"
  start control "$victim"
  until status | grep -q "control=$victim group=0 role=FOLLOWER"; do sleep 0.2; done
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
  kill_leader 2
  kill_leader 2
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
