#!/usr/bin/env bash
# Searches on from the corpus of each fuzz target, for so long each.
set -euo pipefail
cd "$(dirname "$0")/.."
for package in $(go list ./...); do
  for target in $(go test -list '^Fuzz' "$package" | grep '^Fuzz' || true); do
    echo "$package $target"
    go test "$package" -run '^$' -fuzz "^$target\$" -fuzztime "${1:-30s}"
  done
done
