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

# Keys of the trial site: links between processes are under mutual TLS.
keys="$out/keys"
bin/laburnumring keys authority --dir "$keys" >/dev/null
bin/laburnumring keys issue --dir "$keys" router router-1 router-2 >/dev/null
bin/laburnumring keys issue --dir "$keys" agent model-1 model-2 model-3 booking-1 booking-2 >/dev/null
bin/laburnumring keys issue --dir "$keys" operator demo >/dev/null

# tls ROLE-NAME prints the setting that names a process's key files.
tls() {
  echo "tls: {certificate: $keys/$1.crt, key: $keys/$1.key, authority: $keys/authority.crt}"
}

printf 'site: demo\nteams:\n' >"$out/site.yaml"
callers=()

# Each team proves itself by a token, of which the configuration holds the digest.
add_team() {
  local name=$1 weight=$2 text token digest
  text=$(bin/laburnumring keys token)
  token=$(sed -n 's/^token: //p' <<<"$text")
  digest=$(sed -n 's/^token_sha256: //p' <<<"$text")
  echo "  - {name: $name, weight: $weight, token_sha256: $digest}" >>"$out/site.yaml"
  callers+=(--team "$name" --token="$token")
}

add_team dispatch 4
add_team brokers 1
add_team bakery 2
add_team corner-shop 1

cat >>"$out/site.yaml" <<YAML
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
$(tls "agent-$name")
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
control_listen: 127.0.0.1:2504$i
log: $platform
vms: $platform
$(tls "router-router-$i")
shutdown_limit_ms: 10000
YAML
  start "router-$i" bin/laburnumring router --settings "$out/router-$i.yaml"
done

bin/laburnumring config publish --log "$platform" "$out/site.yaml"
result=0
bin/standins load --router 127.0.0.1:25031 --router 127.0.0.1:25032 \
  --model-service model-pool --plain-service booking-app \
  --plain-server 127.0.0.1:25020 --plain-server 127.0.0.1:25022 \
  "${callers[@]}" \
  --requests "${DEMO_REQUESTS:-600}" --concurrency 24 >"$out/summary.json" || result=1
bin/laburnumring status --log "$platform" --certificate "$keys/operator-demo.crt" --key "$keys/operator-demo.key" \
  --authority "$keys/authority.crt" 127.0.0.1:25041 127.0.0.1:25042 || result=1
stop_all
echo "logs are in $out"
cat "$out/summary.json"
exit "$result"
