#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They use the standard library alone.
set -eu
cd "$(dirname "$0")/stand-2"
GOFLAGS=-buildvcs=false GOWORK=off go build -o bin/review2 .
