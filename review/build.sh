#!/bin/sh
# Builds the stand-ins of the cases.
set -e
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/drive
