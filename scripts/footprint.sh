#!/usr/bin/env bash
# Starts a demo system that stays up, and prints what one agent and one entry
# cost while nothing happens: processor time, memory, bytes of control messages.
# RUNNERS and ENTRIES as for the demo; SECONDS_LONG is how long it looks.
set -euo pipefail
cd "$(dirname "$0")/.."
long=${SECONDS_LONG:-10}
HOLD=1 scripts/demo.sh >out/footprint.log 2>&1 &
demo=$!
trap 'kill $demo 2>/dev/null; wait $demo 2>/dev/null || true' EXIT
until grep -q holding out/footprint.log; do sleep 0.5; done
sleep 3
ticks() { awk '{print $14+$15}' "/proc/$1/stat"; }
rss() { awk '/VmRSS/{print $2}' "/proc/$1/status"; }
control() { curl -fsS "http://$1/debug/state" | awk -F'[:,]' '/controlSent|controlReceived/{s+=$2} END{print s}'; }
look() { # name of a process
  local pid address t0 c0 t1 c1
  pid=$(cat "out/demo/$1.pid")
  address=$(grep -o '"observe":"[^"]*"' "out/demo/$1.json" | cut -d'"' -f4)
  t0=$(ticks "$pid") c0=$(control "$address")
  sleep "$long"
  t1=$(ticks "$pid") c1=$(control "$address")
  awk -v n="$1" -v t=$((t1 - t0)) -v c=$((c1 - c0)) -v l="$long" -v m="$(rss "$pid")" \
    'BEGIN{printf "%-10s cpu %.2f%% of a core, rss %.1f MiB, control %.0f B/s on its own connections\n", n, t/l, m/1024, c/l}'
}
look entry-0
look runner-1
