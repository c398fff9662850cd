#!/usr/bin/env bash
# Runs the tests of all packages but the sessions and swarm under the race detector, without
# those that the argument, a pattern for -skip, names. The detector's own runtime
# sometimes dies in a bubble of virtual time ("CHECK failed" in tsan_rtl, or a fault
# in its stack depot); that says nothing about the tests, and the package is run
# again, five times at the most. A failed test or a reported race is final at once.
set -uo pipefail
cd "$(dirname "$0")/.."
out=$(mktemp)
trap 'rm -f "$out"' EXIT
packages=$(go list ./... | grep -vE '/(standalone/session|swarm)$')
for try in 1 2 3 4 5; do
  # shellcheck disable=SC2086 # one word for each package
  go test -race -timeout 20m -skip "$1" $packages 2>&1 | tee "$out"
  [ "${PIPESTATUS[0]}" = 0 ] && exit 0
  grep -qE '^--- FAIL|DATA RACE|^panic:' "$out" && exit 1
  grep -qE 'ThreadSanitizer: CHECK failed|SIGSEGV: segmentation violation' "$out" || exit 1
  packages=$(awk '$1 == "FAIL" && $2 ~ /silverdeck/ {print $2}' "$out")
  echo "the race detector itself died, try $try:" $packages
done
exit 1
