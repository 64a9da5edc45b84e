#!/usr/bin/env bash
# Measures the per-unit costs behind docs/CAPACITY.md: the decision cores in virtual time, one node with plans
# of 100 and 960 targets, a fleet of ten nodes on loopback, and latency under load. Takes less than 4 minutes
# on an idle machine and stops every process that it starts.
# Usage: tools/capacity.sh [cores|node|fleet|latency]; runs all four parts without an argument.
set -euo pipefail
cd "$(dirname "$0")/.."
source tools/fleet.sh

build=${BUILD_DIR:-build}
part=${1:-all}
ticks_per_second=$(getconf CLK_TCK)
directory=$(mktemp -d)
trap 'fleet_stop; rm -rf "$directory"' EXIT

load_average() { cut -d' ' -f1 /proc/loadavg; }
now_ms() { date +%s%3N; }
cpu_ticks() { awk '{sub(/.*\) /, ""); print $12 + $13}' "/proc/$1/stat"; }
memory_status() { awk '/^(VmRSS|VmHWM|Threads)/ {printf "%s%s%s ", $1, $2, $3}' "/proc/$1/status"; }

cpu_us_per_second() { # PID SECONDS; prints microseconds of CPU time per second
  local before after begin
  before=$(cpu_ticks "$1") begin=$(now_ms)
  sleep "$2"
  after=$(cpu_ticks "$1")
  echo $(((after - before) * 1000000000 / ticks_per_second / ($(now_ms) - begin)))
}

write_large_plan() { # FILE TARGETS BASE; only target-0 is a running node
  local file=$1 targets=$2 base=$3 n
  {
    echo '{"version": 1, "deployment": "capacity", "services": ['
    for ((n = 0; n < targets; n++)); do
      ((n % 20 == 0)) && { ((n > 0)) && echo ']},'; echo "{\"id\": \"service-$((n / 20))\", \"slots\": 10, \"targets\": ["; }
      ((n % 20 == 0)) || echo ','
      local address="127.1.$((n / 250)).$((n % 250 + 1))"
      ((n == 0)) && address=127.0.0.1
      echo -n "{\"id\": \"target-$n\", \"vm\": \"vm-$n\", \"data_centre\": \"dc-$((n % 5))\"," \
        "\"node\": \"$address:$((base + 101))\", \"operator\": \"$address:$((base + 201))\"}"
    done
    echo ']}]}'
  } > "$file"
}

write_node_settings() { # FILE BASE
  cat > "$1" << SETTINGS
{"target": "target-0", "vm": "vm-0", "data_centre": "dc-0", "service": "service-0",
 "caller_address": "127.0.0.1:$(($2 + 1))", "node_address": "127.0.0.1:$(($2 + 101))",
 "operator_address": "127.0.0.1:$(($2 + 201))", "server_address": "127.0.0.1:$(($2 + 301))",
 "server_report_path": "/load", "configuration_address": "127.0.0.1:$(($2 + 400))", "configuration_path": "/plan",
 "vm_list_address": "127.0.0.1:$(($2 + 400))", "vm_list_path": "/vms", "seeds": [],
 "log": {"format": "json", "level": "info"}, "traffic_threads": 2}
SETTINGS
}

measure_single_node() { # TARGETS
  local base pid n
  base=$(fleet_free_port_base)
  write_large_plan "$directory/plan.json" "$1" "$base"
  write_node_settings "$directory/node.json" "$base"
  "$build/tests/standins/cornelpier-standin-platform" --listen "127.0.0.1:$((base + 400))" \
    --plan "$directory/plan.json" > "$directory/platform.log" 2>&1 &
  fleet_pids+=($!)
  "$build/tests/standins/cornelpier-standin-server" --listen "127.0.0.1:$((base + 301))" --name target-0 \
    > "$directory/server.log" 2>&1 &
  fleet_pids+=($!)
  "$build/src/programs/cornelpier-node" --settings "$directory/node.json" > "$directory/node.log" 2>&1 &
  pid=$!
  fleet_pids+=("$pid")

  sleep 6
  echo "node targets=$1 $(memory_status "$pid")idle_cpu=$(cpu_us_per_second "$pid" 10) us/s" \
    "state=$(curl -s -m 5 -o /dev/null -w '%{size_download}' "http://127.0.0.1:$((base + 201))/state") B" \
    "metrics=$(curl -s -m 5 -o /dev/null -w '%{size_download}' "http://127.0.0.1:$((base + 201))/metrics") B load=$(load_average)"
  [ "$1" != 960 ] || for n in 100 400 800; do
    timeout 20 "$build/bench/cornelpier-capacity" "$((base + 101))" "$pid" "$n"
    sleep 1
  done
  /usr/bin/time -f "report targets=$1 live=1 elapsed=%e s cpu=%U+%S s memory=%M KiB load=$(load_average)" \
    "$build/src/programs/cornelpier-report" --plan "$directory/plan.json" > /dev/null
  fleet_stop
}

# Sends lookups for comenzi through the entry atelier-1, so that the entry and the owners are different
# processes.
measure_rate() { # BASE CALLS WORKERS RATE
  local base=$1 calls=$2 workers=$3 rate=$4 entry=$fleet_entry n owners_before=0 owners_after=0 entry_before begin elapsed_ms
  local clients=() rate_limit=()
  [ "$rate" = 0 ] || rate_limit=(--rate "$rate/s")
  for n in "${fleet_owners[@]}"; do owners_before=$((owners_before + $(cpu_ticks "$n"))); done
  entry_before=$(cpu_ticks "$entry") begin=$(now_ms)
  for ((n = 0; n < workers; n++)); do
    curl -s -m 30 "${rate_limit[@]}" -o /dev/null -H 'Host: comenzi' "http://127.0.0.1:$((base + 6))/orders/[1-$calls]" \
      > /dev/null &
    clients+=($!)
  done
  for n in "${clients[@]}"; do wait "$n" || true; done
  elapsed_ms=$(($(now_ms) - begin))
  for n in "${fleet_owners[@]}"; do owners_after=$((owners_after + $(cpu_ticks "$n"))); done
  local total_calls=$((calls * workers))
  echo "rate=$((total_calls * 1000 / elapsed_ms))/s calls=$total_calls entry=$((($(cpu_ticks "$entry") - entry_before) * 1000000 / ticks_per_second / total_calls))" \
    "us owners=$(((owners_after - owners_before) * 1000000 / ticks_per_second / total_calls)) us per call, idle included;" \
    "entry $(memory_status "$entry")load=$(load_average)"
}

measure_fleet() {
  local base n
  base=$(fleet_free_port_base)
  fleet_start "$directory" "$base"
  # fleet_pids holds the platform first, then the server and the node of each target in turn.
  fleet_owners=() fleet_entry=${fleet_pids[12]}
  for n in 2 4 6 8 10; do fleet_owners+=("${fleet_pids[$n]}"); done
  sleep 3
  echo "fleet nodes=10 idle_cpu=$(cpu_us_per_second "$fleet_entry" 10) us/s $(memory_status "$fleet_entry")load=$(load_average)"
  measure_rate "$base" 1000 1 100
  measure_rate "$base" 2000 1 300
  measure_rate "$base" 1500 4 0
  /usr/bin/time -f "report live=10 elapsed=%e s cpu=%U+%S s memory=%M KiB load=$(load_average)" \
    "$build/src/programs/cornelpier-report" --plan "$directory/plan.json" > /dev/null
  fleet_stop
}

cmake -S . -B "$build" -G Ninja > /dev/null
cmake --build "$build" > /dev/null
echo "start: load $(cat /proc/loadavg), $(nproc) cores"
[[ $part == all || $part == cores ]] && timeout 120 "$build/bench/cornelpier-capacity"
[[ $part == all || $part == node ]] && for targets in 100 960; do measure_single_node "$targets"; done
[[ $part == all || $part == fleet ]] && measure_fleet
[[ $part == all || $part == latency ]] && timeout 60 "$build/tests/process/cornelpier-latency-load" --calls 2000
echo "end: load $(cat /proc/loadavg)"
