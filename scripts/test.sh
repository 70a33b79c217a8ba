#!/usr/bin/env bash
# Runs all tests with the race detector. Tests named in KNOWN-RED.txt may fail; they are printed.
set -euo pipefail
cd "$(dirname "$0")/.."
skip=()
if [ -s KNOWN-RED.txt ]; then
  echo "known to fail, see KNOWN-RED.txt:"
  cat KNOWN-RED.txt
  # A name may be that of a subtest, as in TestSeeds/118.
  names=$(awk '/^test: /{gsub("/", "$/^", $2); print "^" $2 "$"}' KNOWN-RED.txt | paste -sd'|')
  [ -n "$names" ] && skip=(-skip "$names")
fi
verdict=0
go test -race -timeout 15m "${skip[@]}" $(go list ./... | grep -v '/internal/ingress$') || verdict=1
# These tests measure the memory of processes, so they run apart from the others.
go test -race -timeout 15m "${skip[@]}" ./internal/ingress || verdict=1
exit "$verdict"
