#!/usr/bin/env bash
# Runs each session, and each test of swarm, under the race detector in a process
# of its own. The race detector's own runtime sometimes dies in a bubble of virtual
# time ("CHECK failed" in tsan_rtl, or a fault in its stack depot); such a run says
# nothing about the test, and is made again, five times at the most. A failed test
# or a reported race is final at once. Tests that the argument, a pattern for -skip, names
# are not run. A test has ten minutes: it takes seconds, but a machine short of memory stands
# still for a minute.
set -uo pipefail
cd "$(dirname "$0")/.."
mkdir -p out
root=$PWD
out=$(mktemp)
trap 'rm -f "$out"' EXIT
for package in standalone/session swarm; do
  go test -race -c -o "$root/out/race.test" "./$package" || exit 1
  cd "$root/$package" || exit 1
  tests=$("$root/out/race.test" -test.list .) && [ -n "$tests" ] || exit 1
  for t in $tests; do
    status=1
    for try in 1 2 3 4 5; do
      "$root/out/race.test" -test.timeout 10m -test.run "^$t\$" -test.skip "$1" >"$out" 2>&1
      status=$?
      [ $status = 0 ] && break
      grep -qE '^--- FAIL|DATA RACE|^panic:' "$out" && break
      grep -E '^fatal error:' "$out" | grep -qv 'unexpected signal' && break
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
  cd "$root" || exit 1
done
