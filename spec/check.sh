#!/usr/bin/env bash
# Checks every specification, and that each of its mutations is caught.
# Prints how many states were explored.
set -euo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
passed=0
failed=0

# verify spec flags... : runs the checker, prints its states, returns 0 if no error was found
verify() {
  local spec=$1 ltl=$2
  shift 2
  (
    cp "$spec.pml" "$work/" && cd "$work" && rm -f pan* ./*.trail
    spin "$@" -a "$spec.pml" >spin.out 2>&1 || { cat spin.out; exit 2; }
    gcc -O2 $([ "$ltl" = 1 ] || echo -DSAFETY) -o pan pan.c 2>gcc.out || { cat gcc.out; exit 2; }
    if [ "$ltl" = 1 ]; then ./pan -a -m200000 >pan.out 2>&1; else ./pan -m200000 >pan.out 2>&1; fi
    grep -q 'max search depth too small' pan.out && { echo "search depth"; exit 2; }
    grep -E 'states, stored' pan.out | awk '{printf "%s states", $1}'
    grep -q 'errors: 0' pan.out && exit 0
    grep -qE 'assertion violated|acceptance cycle' pan.out && exit 1
    tail -3 pan.out
    exit 2
  )
}

# good spec ltl flags...
good() {
  local out status=0
  out=$(verify "$@") || status=$?
  if [ $status = 0 ]; then passed=$((passed + 1)); echo "ok     $1 ${*:3}: $out"; else failed=$((failed + 1)); echo "FAILED $1 ${*:3}: $out"; fi
}

# caught spec ltl flags... : a mutation in which the checker must find an error
caught() {
  local out status=0
  out=$(verify "$@") || status=$?
  if [ $status = 1 ]; then passed=$((passed + 1)); echo "caught $1 ${*:3}: $out"; else failed=$((failed + 1)); echo "MISSED $1 ${*:3}: $out"; fi
}

good fence 0 -DCHECKS=0
good fence 0 -DCHECKS=1
good fence 0 -DCHECKS=1 -DNOFENCE -DNOBEHIND
caught fence 0 -DCHECKS=0 -DNOBEHIND
good once 0
caught once 0 -DNOLIFE
caught once 0 -DRETRYALL
caught once 0 -DFORGET
good chunks 0
caught chunks 0 -DNOVERIFY
caught chunks 0 -DNOCOMPLETE
caught chunks 0 -DREUSE
good config 0
good config 1
caught config 0 -DNOREADBACK
caught config 0 -DNOADVANCE
caught config 1 -DNOSPREAD
good vouch 0
good vouch 1 -DLIVE
caught vouch 0 -DONEWORD
caught vouch 1 -DLIVE -DSECONDHAND
good cold 0
caught cold 0 -DNOWAIT
caught cold 0 -DEVERYONE
caught cold 0 -DFREETOKEN
caught cold 0 -DLATETOKEN
good admission 0
caught admission 0 -DALONE
caught admission 0 -DPARTIAL
caught admission 0 -DNOOWN
caught admission 0 -DNOLEAST
good admission 0 -DRETURN
caught admission 0 -DRETURN -DFOREVER

good era 0
good era 1
caught era 0 -DANYCOPY
caught era 1 -DREVISIONS
caught era 1 -DNOERA

echo "$passed passed, $failed failed"
[ $failed = 0 ]
