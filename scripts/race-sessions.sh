#!/usr/bin/env bash
# Runs each session under the race detector in a process of its own. The race
# detector's own runtime sometimes dies in a bubble of virtual time ("CHECK
# failed" in tsan_rtl, or a fault in its stack depot); such a run says nothing
# about the test, and is made again, five times at the most. A failed test or a
# reported race is final at once.
set -uo pipefail
cd "$(dirname "$0")/.."
mkdir -p out
go test -race -c -o out/session.test ./standalone/session || exit 1
out=$(mktemp)
trap 'rm -f "$out"' EXIT
cd standalone/session
for t in $(../../out/session.test -test.list .); do
  status=1
  for try in 1 2 3 4 5; do
    ../../out/session.test -test.timeout 2m -test.run "^$t\$" >"$out" 2>&1
    status=$?
    [ $status = 0 ] && break
    grep -qE '^--- FAIL|DATA RACE|^panic:' "$out" && break
    grep -qE 'ThreadSanitizer: CHECK failed|SIGSEGV: segmentation violation' "$out" || break
    echo "$t: the race detector itself died, try $try"
  done
  if [ $status != 0 ]; then
    cat "$out"
    echo "FAIL $t"
    exit 1
  fi
  echo "ok $t"
done
