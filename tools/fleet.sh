# Functions to configure, start and stop a small fleet on loopback. To be sourced by other scripts.
#
# The fleet models the Brașov deployment: services comenzi and atelier, five targets each, three data centres.
# fleet_start DIR BASE_PORT   writes the plan and settings to DIR, starts all processes, waits for the nodes
# fleet_stop                  stops every process in fleet_pids
# Ports: caller BASE+1.., node BASE+101.., operator BASE+201.., server BASE+301.., platform BASE+400.

fleet_services=(comenzi atelier)
fleet_targets_per_service=${FLEET_TARGETS:-5}
fleet_pids=()

fleet_free_port_base() {
  local base
  for base in 21000 22000 23000 24000 25000 26000 27000 28000; do
    local port busy=
    for port in 1 101 201 301 400; do
      (exec 3<> "/dev/tcp/127.0.0.1/$((base + port))") 2> /dev/null && busy=yes
    done
    [ -z "$busy" ] && echo "$base" && return 0
  done
  echo "no free range of ports" >&2
  return 1
}

fleet_write_plan() { # DIR BASE VERSION
  local dir=$1 base=$2 version=$3 number=0 service n separator=
  {
    echo "{\"version\": $version, \"deployment\": \"ro-centru\", \"services\": ["
    for service in "${fleet_services[@]}"; do
      local request_class=patient_lookup tail_weight=0.3 deadline=5000
      [ "$service" = comenzi ] && request_class=urgent_lookup tail_weight=0.9 deadline=2000
      echo "$separator{\"id\": \"$service\", \"deadline_ms\": $deadline, \"tail_weight\": $tail_weight,"
      echo ' "measuring_per_second": 20, "slots": 10, "key_memory_s": 3, "refusal_statuses": [503], "rules": ['
      echo "  {\"method\": \"GET\", \"path_prefix\": \"/\", \"idempotent\": true, \"class\": \"$request_class\"},"
      echo '  {"method": "POST", "path_prefix": "/orders", "idempotent": false, "class": "order"}], "targets": ['
      for ((n = 1; n <= fleet_targets_per_service; n++)); do
        number=$((number + 1))
        [ "$n" -gt 1 ] && echo '  ,'
        echo "  {\"id\": \"$service-$n\", \"vm\": \"vm-$service-$n\", \"data_centre\": \"brasov-$((n % 3 + 1))\"," \
          "\"node\": \"127.0.0.1:$((base + 100 + number))\", \"operator\": \"127.0.0.1:$((base + 200 + number))\"}"
      done
      echo ' ]}'
      separator=,
    done
    echo ']}'
  } > "$dir/plan.json"
}

fleet_write_settings() { # DIR BASE SERVICE N NUMBER
  local dir=$1 base=$2 service=$3 n=$4 number=$5
  cat > "$dir/$service-$n.json" << SETTINGS
{"target": "$service-$n", "vm": "vm-$service-$n", "data_centre": "brasov-$((n % 3 + 1))", "service": "$service",
 "caller_address": "127.0.0.1:$((base + number))", "node_address": "127.0.0.1:$((base + 100 + number))",
 "operator_address": "127.0.0.1:$((base + 200 + number))", "server_address": "127.0.0.1:$((base + 300 + number))",
 "server_report_path": "/load", "configuration_address": "127.0.0.1:$((base + 400))", "configuration_path": "/plan",
 "vm_list_address": "127.0.0.1:$((base + 400))", "vm_list_path": "/vms",
 "seeds": [{"target": "comenzi-1", "node": "127.0.0.1:$((base + 101))"},
           {"target": "atelier-1", "node": "127.0.0.1:$((base + 101 + fleet_targets_per_service))"}],
 "log": {"format": "json", "level": "info"}, "traffic_threads": 2}
SETTINGS
}

fleet_start() { # DIR BASE
  local dir=$1 base=$2 build=${BUILD_DIR:-build} number=0 service n
  fleet_write_plan "$dir" "$base" 1
  "$build/tests/standins/cornelpier-standin-platform" --listen "127.0.0.1:$((base + 400))" --plan "$dir/plan.json" \
    > "$dir/platform.log" 2>&1 &
  fleet_pids+=($!)

  for service in "${fleet_services[@]}"; do
    for ((n = 1; n <= fleet_targets_per_service; n++)); do
      number=$((number + 1))
      fleet_write_settings "$dir" "$base" "$service" "$n" "$number"
      "$build/tests/standins/cornelpier-standin-server" --listen "127.0.0.1:$((base + 300 + number))" \
        --name "$service-$n" --seed "$number" > "$dir/server-$service-$n.log" 2>&1 &
      fleet_pids+=($!)
      "$build/src/programs/cornelpier-node" --settings "$dir/$service-$n.json" > "$dir/$service-$n.log" 2>&1 &
      fleet_pids+=($!)
    done
  done
  fleet_wait_until_serving "$base" "$number"
}

fleet_wait_until_serving() { # BASE COUNT
  local base=$1 count=$2 number attempt
  for ((number = 1; number <= count; number++)); do
    for ((attempt = 0; attempt < 100; attempt++)); do
      [ "$(curl -s -o /dev/null -m 2 -w '%{http_code}' -H 'Host: comenzi' "http://127.0.0.1:$((base + number))/ready")" = 200 ] \
        && break
      sleep 0.1
    done
    [ "$attempt" -lt 100 ] || { echo "node $number does not serve" >&2; return 1; }
  done
}

fleet_stop() {
  local pid
  for pid in "${fleet_pids[@]}"; do kill "$pid" 2> /dev/null; done
  for pid in "${fleet_pids[@]}"; do wait "$pid" 2> /dev/null; done
  fleet_pids=()
}
