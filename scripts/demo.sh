#!/usr/bin/env bash
# Starts a whole system on loopback as separate processes, applies examples/,
# waits until the rollout is live, sends requests, drains an endpoint and stops
# what it started, by process id. The last line of output is one JSON object.
#
# HOLD=1 keeps the system up for five minutes instead of sending requests.
# RUNNERS model runners, ENTRIES entries, MODEL_MIB of weights; OUTAGE=1 takes
# the platform down while the weights travel.
set -euo pipefail
cd "$(dirname "$0")/.."
RUNNERS=${RUNNERS:-12}
ENTRIES=${ENTRIES:-6}
MODEL_MIB=${MODEL_MIB:-64}
OUTAGE=${OUTAGE:-0}
PORT=${PORT:-21000}
PLAIN=3
OUT=${OUT:-out/demo}
HOST=127.0.0.1
ZONES=(kingston montego-bay mandeville)
REGIONS=(jamaica-east jamaica-west jamaica-east)

mkdir -p "$OUT"
rm -f "$OUT"/*
pids=()
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}
trap stop EXIT
start() { # name command...
  local name=$1
  shift
  "$@" >"$OUT/$name.log" 2>&1 &
  pids+=($!)
  echo $! >"$OUT/$name.pid"
}
await() { # url
  for _ in $(seq 200); do
    curl -fsS -o /dev/null "$1" 2>/dev/null && return 0
    sleep 0.05
  done
  echo "demo: $1 does not answer" >&2
  return 1
}

platform=$HOST:$PORT
origin=$HOST:$((PORT + 1))
start platform bin/silverdeck-standin platform --listen $platform
start origin bin/silverdeck-standin origin --listen $origin --weights models/reader/v1=$MODEL_MIB --chunk-kib 256 --link-mib 32
await http://$platform/admin/counters
await http://$origin/admin/counters

vms=()
entry_peers=()
for i in $(seq 0 $((ENTRIES - 1))); do
  p=$((PORT + 10 + 4 * i))
  z=$((i % 3))
  entry_peers+=("\"$HOST:$((p + 2))\"")
  vms+=("{\"name\":\"entry-$i\",\"role\":\"entry\",\"addr\":\"$HOST:$((p + 2))\",\"caller\":\"$HOST:$p\",\"zone\":\"${ZONES[$z]}\",\"region\":\"${REGIONS[$z]}\"}")
done
seeds=$(IFS=,; echo "${entry_peers[*]}")
for i in $(seq 0 $((ENTRIES - 1))); do
  p=$((PORT + 10 + 4 * i))
  z=$((i % 3))
  cat >"$OUT/entry-$i.json" <<JSON
{"vm":"entry-$i","zone":"${ZONES[$z]}","region":"${REGIONS[$z]}",
 "caller":"$HOST:$p","operator":"$HOST:$((p + 1))","peer":"$HOST:$((p + 2))",
 "platform":["http://$platform"],"origin":"http://$origin","seeds":[$seeds],
 "telemetry":{"observe":"$HOST:$((p + 3))","logLevel":"info","traceFile":"$OUT/trace.jsonl"}}
JSON
done

engines=()
endpoint() { # name role port zone-index plain
  local engine=$HOST:$3 peer=$HOST:$(($3 + 1)) observe=$HOST:$(($3 + 2))
  vms+=("{\"name\":\"$1\",\"role\":\"$2\",\"addr\":\"$peer\",\"zone\":\"${ZONES[$4]}\",\"region\":\"${REGIONS[$4]}\"}")
  cat >"$OUT/$1.json" <<JSON
{"vm":"$1","zone":"${ZONES[$4]}","region":"${REGIONS[$4]}","peer":"$peer","engine":"http://$engine",
 "plain":$5,"slots":8,"entries":[$seeds],"origin":"http://$origin",
 "telemetry":{"observe":"$observe","logLevel":"info","traceFile":"$OUT/trace.jsonl"}}
JSON
  engines+=("http://$engine")
}
for i in $(seq 0 $((RUNNERS - 1))); do
  p=$((PORT + 200 + 3 * i))
  endpoint "runner-$i" model $p $((i % 3)) false
  start "engine-$i" bin/silverdeck-standin engine --listen $HOST:$p
done
for i in $(seq 0 $((PLAIN - 1))); do
  p=$((PORT + 100 + 3 * i))
  endpoint "quotes-$i" plain $p $((i % 3)) true
  start "plain-$i" bin/silverdeck-standin plain --listen $HOST:$p
done
(IFS=,; echo "[${vms[*]}]") >"$OUT/vms.json"
curl -fsS -X PUT --data-binary @"$OUT/vms.json" http://$platform/admin/vms

for i in $(seq 0 $((ENTRIES - 1))); do start "entry-$i" bin/silverdeck-entry --config "$OUT/entry-$i.json"; done
for i in $(seq 0 $((RUNNERS - 1))); do start "runner-$i" bin/silverdeck-agent --config "$OUT/runner-$i.json"; done
for i in $(seq 0 $((PLAIN - 1))); do start "quotes-$i" bin/silverdeck-agent --config "$OUT/quotes-$i.json"; done
for i in $(seq 0 $((ENTRIES - 1))); do await http://$HOST:$((PORT + 10 + 4 * i + 3))/readyz; done

export SILVERDECK_ENTRY=http://$HOST:$((PORT + 11)) SILVERDECK_OPERATOR=demo
echo "applying examples/"
began=$(date +%s.%N)
bin/silverdeck apply -f examples
if [ "$OUTAGE" = 1 ]; then
  echo "platform down"
  curl -fsS -X PUT -d '{"down":true}' http://$platform/admin/faults
fi
bin/silverdeck rollout wait --timeout 50s || true
took=$(echo "$(date +%s.%N) $began" | awk '{printf "%.2f", $1-$2}')
bin/silverdeck rollout status
if [ "${HOLD:-0}" = 1 ]; then
  echo "holding"
  sleep 300
fi
if [ "$OUTAGE" = 1 ]; then
  curl -fsS -X PUT -d '{"down":false}' http://$platform/admin/faults
  echo "platform up"
fi
bin/silverdeck-standin drive --entry $HOST:$((PORT + 10)) --operator $SILVERDECK_ENTRY --origin http://$origin \
  --engines "${engines[@]}" --keys claimsdesk-demo-key tozsdefeny-demo-key \
  --size $((MODEL_MIB << 20)) --seconds-to-live "$took" >"$OUT/report.json" &
driver=$!
sleep 1
bin/silverdeck drain runner-0 --reason demo
ok=0
wait $driver || ok=1
bin/silverdeck get endpoints | head -8
cat "$OUT/report.json"
exit $ok
