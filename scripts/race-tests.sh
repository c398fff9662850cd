#!/usr/bin/env bash
# Runs the tests of all packages but the sessions and swarm under the race detector, without
# those that the argument, a pattern for -skip, names. The detector's own runtime
# sometimes dies in a bubble of virtual time ("CHECK failed" in tsan_rtl, or a fault
# in its stack depot); that says nothing about the tests, and the package is run
# again, five times at the most. A failed test, a reported race or any other end of a
# package is final at once, also where the detector died in another package.
set -uo pipefail
cd "$(dirname "$0")/.."
out=$(mktemp)
trap 'rm -f "$out"' EXIT
packages=$(go list ./...) || exit 1
packages=$(grep -vE '/(standalone/session|swarm)$' <<<"$packages") || exit 1
for try in 1 2 3 4 5; do
  # shellcheck disable=SC2086 # one word for each package
  go test -race -timeout 20m -skip "$1" $packages 2>&1 | tee "$out"
  [ "${PIPESTATUS[0]}" = 0 ] && exit 0
  packages=$(awk '
    /^--- FAIL|^panic:|DATA RACE/ || (/^fatal error:/ && !/unexpected signal/) {failed = 1}
    /ThreadSanitizer: CHECK failed|SIGSEGV: segmentation violation/ {died = 1}
    $1 == "FAIL" && $2 ~ /silverdeck/ {if (failed || !died) exit 1; print $2}
    $1 ~ /^(FAIL|ok|[?])$/ && $2 ~ /silverdeck/ {failed = died = 0}
  ' "$out") || exit 1
  [ -n "$packages" ] || exit 1
  echo "the race detector itself died, try $try:" $packages
done
exit 1
