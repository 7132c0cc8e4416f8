#!/bin/sh
# Builds the stand-ins of the cases, after the build of the deploy file. Run it from anywhere.
cd "$(dirname "$0")/.." && mkdir -p bin && exec go build -o bin/review ./review/driver
