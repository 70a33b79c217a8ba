#!/usr/bin/env bash
# Builds the stand-ins and the driver of the cases into review/bin.
set -euo pipefail
cd "$(dirname "$0")/stand"
GOWORK=off go build -o ../bin/stand .
