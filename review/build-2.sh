#!/usr/bin/env bash
# Builds the driver of the cases 6 to 10, with all of their stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review2 ./review/driver2
