#include "cornelpier/plan/plan_schema.hpp"

namespace cornelpier {

std::string_view plan_schema() {
    return R"schema({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "cornelpier plan sheet",
  "type": "object",
  "additionalProperties": false,
  "required": [
    "version",
    "deployment",
    "services"
  ],
  "properties": {
    "version": {
      "type": "integer",
      "description": "A plan replaces only one of a lower version.",
      "minimum": 1,
      "maximum": 9007199254740991
    },
    "deployment": {
      "type": "string",
      "description": "Name of the deployment.",
      "minLength": 1
    },
    "evacuated_data_centres": {
      "type": "array",
      "description": "Servers of these data centres get no new requests.",
      "maxItems": 64,
      "items": {
        "type": "string",
        "minLength": 1
      }
    },
    "services": {
      "type": "array",
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": [
          "id",
          "slots",
          "targets"
        ],
        "properties": {
          "id": {
            "type": "string",
            "description": "First label of Host.",
            "minLength": 1
          },
          "deadline_ms": {
            "type": "integer",
            "description": "Default and largest deadline of a call.",
            "minimum": 1,
            "maximum": 3600000
          },
          "tail_weight": {
            "type": "number",
            "description": "0: spend nothing on measuring; 1: the whole budget.",
            "minimum": 0,
            "maximum": 1
          },
          "measuring_per_second": {
            "type": "number",
            "description": "Measurements per target and second.",
            "minimum": 0,
            "maximum": 100000
          },
          "slots": {
            "type": "integer",
            "description": "Requests that a server works on at a time.",
            "minimum": 1,
            "maximum": 100000
          },
          "key_memory_s": {
            "type": "integer",
            "description": "How long answers to requests with an Idempotency-Key are kept.",
            "minimum": 1,
            "maximum": 86400
          },
          "warm_up_ms": {
            "type": "integer",
            "description": "Time from the start of a server until it is warm.",
            "minimum": 0,
            "maximum": 600000
          },
          "warm_up_rate_per_second": {
            "type": "number",
            "description": "Requests that a cold server accepts; 0: as many as a warm one.",
            "minimum": 0,
            "maximum": 1000000
          },
          "refusal_statuses": {
            "type": "array",
            "description": "Statuses by which the server promises that it did not execute.",
            "items": {
              "type": "integer",
              "minimum": 400,
              "maximum": 599
            }
          },
          "rules": {
            "type": "array",
            "description": "The first match counts; no match means not idempotent, class order.",
            "items": {
              "type": "object",
              "additionalProperties": false,
              "required": [
                "method",
                "path_prefix",
                "idempotent",
                "class"
              ],
              "properties": {
                "method": {
                  "type": "string",
                  "description": "HTTP method; * matches any.",
                  "minLength": 1
                },
                "path_prefix": {
                  "type": "string",
                  "description": "Starts with /.",
                  "minLength": 1
                },
                "idempotent": {
                  "type": "boolean"
                },
                "class": {
                  "type": "string",
                  "enum": [
                    "order",
                    "urgent_lookup",
                    "patient_lookup"
                  ]
                }
              }
            }
          },
          "targets": {
            "type": "array",
            "items": {
              "type": "object",
              "additionalProperties": false,
              "required": [
                "id",
                "vm",
                "data_centre",
                "node"
              ],
              "properties": {
                "id": {
                  "type": "string",
                  "description": "Target and the node beside it.",
                  "minLength": 1
                },
                "vm": {
                  "type": "string",
                  "description": "VM that the server and the node run on.",
                  "minLength": 1
                },
                "data_centre": {
                  "type": "string",
                  "description": "Data centre of the VM.",
                  "minLength": 1
                },
                "node": {
                  "type": "string",
                  "description": "IP:port of the node, for node links and gossip.",
                  "minLength": 1
                },
                "operator": {
                  "type": "string",
                  "description": "IP:port of the node's operators' port, for reports and time lines.",
                  "minLength": 1
                }
              }
            }
          }
        }
      }
    }
  }
}
)schema";
}

} // namespace cornelpier
