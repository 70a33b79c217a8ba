#!/usr/bin/env bash
# Starts stand-ins, two routers and five agents on loopback, drives both kinds of traffic, stops everything
# and prints the load's counts as the last line.
set -euo pipefail
cd "$(dirname "$0")/.."
out=out/demo
rm -rf "$out"
mkdir -p "$out"
pids=()

stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
}
trap stop_all EXIT

start() {
  local name=$1
  shift
  "$@" >"$out/$name.log" 2>&1 &
  pids+=("$!")
}

platform=127.0.0.1:25000
start platform bin/standins platform --listen "$platform"

cat >"$out/site.yaml" <<YAML
site: demo
teams:
  - {name: dispatch, weight: 4}
  - {name: brokers, weight: 1}
  - {name: bakery, weight: 2}
  - {name: corner-shop, weight: 1}
services:
  - name: model-pool
    kind: model
    retry: {max_attempts: 3, budget_percent: 20, repeatable: true}
    queue_limit: 256
    key_window_ms: 600000
  - name: booking-app
    kind: plain
    retry: {max_attempts: 2, budget_percent: 10, repeatable: false}
    queue_limit: 256
    key_window_ms: 600000
places:
  - {name: place-a, region: north}
  - {name: place-b, region: north}
servers:
YAML

add_server() {
  local name=$1 service=$2 kind=$3 place=$4 port=$5 slots=$6
  local address=127.0.0.1:$port agent=127.0.0.1:$((port + 1))
  cat >>"$out/site.yaml" <<YAML
  - {name: $name, service: $service, place: $place, address: "$address", agent: "$agent", slots: $slots, checks_fencing: false}
YAML
  cat >"$out/$name.yaml" <<YAML
server: $name
service: $service
place: $place
kind: $kind
server_address: $address
slots: $slots
listen: $agent
log: $platform
insecure_loopback: true
shutdown_limit_ms: 10000
YAML
  if [ "$kind" = model ]; then
    start "$name-engine" bin/standins engine --listen "$address"
  else
    start "$name-server" bin/standins plain --listen "$address"
  fi
  start "$name-agent" bin/laburnumring agent --settings "$out/$name.yaml"
}

add_server model-1 model-pool model place-a 25010 8
add_server model-2 model-pool model place-b 25012 8
add_server model-3 model-pool model place-a 25014 8
add_server booking-1 booking-app plain place-a 25020 4
add_server booking-2 booking-app plain place-b 25022 4

for i in 1 2; do
  cat >"$out/router-$i.yaml" <<YAML
name: router-$i
place: place-a
listen: 127.0.0.1:2503$i
log: $platform
vms: $platform
insecure_loopback: true
shutdown_limit_ms: 10000
YAML
  start "router-$i" bin/laburnumring router --settings "$out/router-$i.yaml"
done

bin/laburnumring config publish --log "$platform" "$out/site.yaml"
bin/standins load --router 127.0.0.1:25031 --router 127.0.0.1:25032 \
  --model-service model-pool --plain-service booking-app \
  --plain-server 127.0.0.1:25020 --plain-server 127.0.0.1:25022 \
  --team dispatch --team brokers --team bakery --team corner-shop \
  --requests "${DEMO_REQUESTS:-600}" --concurrency 24 >"$out/summary.json" || { cat "$out/summary.json"; exit 1; }
stop_all
echo "logs are in $out"
cat "$out/summary.json"
