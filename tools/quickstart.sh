#!/usr/bin/env bash
# Installs the packages, builds, starts a small fleet on loopback, sends lookups and orders through different
# nodes, prints and checks the verdict of each response, and stops every process that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
source tools/fleet.sh

tools/install_packages.sh
cmake -S . -B "${BUILD_DIR:-build}" -G Ninja > /dev/null
cmake --build "${BUILD_DIR:-build}"

directory=$(mktemp -d)
trap 'fleet_stop; rm -rf "$directory"' EXIT
base=$(fleet_free_port_base)
fleet_start "$directory" "$base"
echo "fleet: 10 nodes, 10 stand-in servers and the stand-in platform are listening on 127.0.0.1, ports from $base"

response=
send_and_check() { # TITLE EXPECTED_VERDICT CURL_ARGUMENTS...
  local title=$1 expected=$2
  shift 2
  response=$(curl -s -i -m 5 "$@" | tr -d '\r')
  echo "--- $title"
  grep -iE '^(HTTP|Cornelpier-)|^\{' <<< "$response"
  grep -qi "^Cornelpier-Verdict: $expected" <<< "$response"
}

send_and_check "status lookup through node 1" ran -H 'Host: comenzi' "http://127.0.0.1:$((base + 1))/orders/17"
send_and_check "order through node 2" ran -H 'Host: comenzi' -d '{"mallets": 12}' "http://127.0.0.1:$((base + 2))/orders"
token=$(sed -n 's/^Cornelpier-Request: //Ip' <<< "$response")
send_and_check "fate of that order, asked at node 9" ran "http://127.0.0.1:$((base + 9))/cornelpier/requests/$token"

# A new owner cannot tell a new key from a repeated one until key_memory_s (3 s in this plan) has passed since
# its start, because its predecessor may have run the order.
sleep 3
send_and_check "order with a key through node 3" ran -H 'Host: comenzi' -H 'Idempotency-Key: quickstart-1' \
  -d '{"mallets": 30}' "http://127.0.0.1:$((base + 3))/orders"
send_and_check "the same order again through node 7: the stored answer" ran -H 'Host: comenzi' \
  -H 'Idempotency-Key: quickstart-1' -d '{"mallets": 30}' "http://127.0.0.1:$((base + 7))/orders"
send_and_check "unknown service" not-run -H 'Host: nowhere' "http://127.0.0.1:$((base + 3))/"
echo "quickstart: done"
