#!/usr/bin/env bash
# Builds the programs of an earlier commit into a folder, for silverdeck-soak --previous:
# scripts/previous.sh COMMIT DIR
set -euo pipefail
commit=$1
mkdir -p "$2"
dir=$(cd "$2" && pwd)
cd "$(dirname "$0")/.."
tree=$(mktemp -d)
trap 'rm -rf "$tree"' EXIT
git archive "$commit" | tar -x -C "$tree"
cd "$tree"
go build -o "$dir/" ./cmd/silverdeck-gateway ./cmd/silverdeck-sidecar
