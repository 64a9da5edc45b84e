#include "daemon/settings/settings_schema.hpp"

namespace cornelpier {

std::string_view settings_schema() {
    return R"schema({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "cornelpier node settings",
  "type": "object",
  "additionalProperties": false,
  "required": [
    "target",
    "vm",
    "data_centre",
    "service",
    "caller_address",
    "node_address",
    "operator_address",
    "server_address",
    "configuration_address",
    "vm_list_address"
  ],
  "properties": {
    "target": {
      "type": "string",
      "description": "Target that this node stands beside.",
      "minLength": 1
    },
    "vm": {
      "type": "string",
      "description": "VM that the node runs on.",
      "minLength": 1
    },
    "data_centre": {
      "type": "string",
      "description": "Data centre of the VM.",
      "minLength": 1
    },
    "service": {
      "type": "string",
      "description": "Service of the target.",
      "minLength": 1
    },
    "caller_address": {
      "type": "string",
      "description": "IP:port for callers (HTTP).",
      "minLength": 1
    },
    "node_address": {
      "type": "string",
      "description": "IP:port for other nodes (TCP and UDP).",
      "minLength": 1
    },
    "operator_address": {
      "type": "string",
      "description": "IP:port for operators (HTTP).",
      "minLength": 1
    },
    "server_address": {
      "type": "string",
      "description": "IP:port of the server.",
      "minLength": 1
    },
    "server_report_path": {
      "type": "string",
      "description": "Path of the server's load report.",
      "minLength": 1
    },
    "configuration_address": {
      "type": "string",
      "description": "IP:port of the configuration service.",
      "minLength": 1
    },
    "configuration_path": {
      "type": "string",
      "description": "Path of the plan there.",
      "minLength": 1
    },
    "vm_list_address": {
      "type": "string",
      "description": "IP:port of the VM list.",
      "minLength": 1
    },
    "vm_list_path": {
      "type": "string",
      "description": "Path of the VM list there.",
      "minLength": 1
    },
    "seeds": {
      "type": "array",
      "description": "Nodes to ask before a plan is known.",
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": [
          "target",
          "node"
        ],
        "properties": {
          "target": {
            "type": "string",
            "description": "Target of the peer.",
            "minLength": 1
          },
          "node": {
            "type": "string",
            "description": "IP:port of the peer's node.",
            "minLength": 1
          }
        }
      }
    },
    "log": {
      "type": "object",
      "additionalProperties": false,
      "required": [],
      "properties": {
        "format": {
          "type": "string",
          "enum": [
            "json",
            "text"
          ]
        },
        "level": {
          "type": "string",
          "enum": [
            "debug",
            "info",
            "warning",
            "error"
          ]
        }
      }
    },
    "traffic_threads": {
      "type": "integer",
      "minimum": 1,
      "maximum": 64
    },
    "locality": {
      "type": "object",
      "description": "Price of traffic between data centres.",
      "additionalProperties": false,
      "required": [
        "cost_ms_per_kb"
      ],
      "properties": {
        "cost_ms_per_kb": {
          "type": "number",
          "description": "Delay that is accepted to keep a kilobyte within the data centre.",
          "minimum": 0,
          "maximum": 60000
        },
        "far_round_trip_ms": {
          "type": "number",
          "description": "Data centres with a shorter round trip have no price.",
          "minimum": 0,
          "maximum": 60000
        }
      }
    },
    "memory_limit_mb": {
      "type": "integer",
      "description": "Memory in MiB that the process may use.",
      "minimum": 32,
      "maximum": 1048576
    },
    "adapter": {
      "type": "object",
      "description": "Settings of the adapter to a platform; the adapter defines and checks them."
    }
  }
}
)schema";
}

} // namespace cornelpier
