#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/base/units.hpp"
#include "cornelpier/message/http_fields.hpp"
#include "cornelpier/plan/route.hpp"
#include "cornelpier/plan/warm_up_plan.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelpier {

/// Size limit of a plan sheet in bytes; larger sheets are refused.
inline constexpr std::size_t max_plan_bytes = 1'000'000;

/// Maximum number of data centres that are evacuated at a time.
inline constexpr std::size_t max_evacuated_data_centres = 64;

/// Classifies requests by method and path.
struct request_rule {
    std::string method;      ///< HTTP method; `*` matches any.
    std::string path_prefix; ///< Starts with `/`.
    bool idempotent = false;
    request_class priority = request_class::order;
};

/// A back end server and the node that runs beside it.
struct target_plan {
    target_id id;
    vm_id vm;
    data_centre_id data_centre;
    std::string node_address; ///< `IP:port` of the node, for node links (TCP) and gossip (UDP).
    /// `IP:port` of the operator interface; unset if the node cannot be queried for reports.
    std::optional<std::string> operator_address = std::nullopt;
    /// Name of the server process currently at this target; empty if the source of the plan does not provide
    /// it.
    std::string instance = {};
    std::uint32_t slots = 0;      ///< Concurrent requests of this server; 0: the service's value.
    duration warm_up_remaining{}; ///< Remaining warm-up time when the server was first seen.
};

/// Configuration of a service.
struct service_plan {
    service_id id;
    duration deadline{std::chrono::seconds{2}}; ///< Default and maximum deadline of a call.
    double tail_weight = 0.5;                   ///< Part of the measuring budget to use: 0 none, 1 all of it.
    rate measuring{};                           ///< Measurements of all kinds per target and second.
    std::uint32_t slots = 1;                    ///< Concurrent requests of a server.
    /// Time for which responses to requests with an Idempotency-Key are kept.
    duration key_memory{std::chrono::seconds{120}};
    /// Statuses that guarantee that the server did not execute the request.
    std::vector<int> refusal_statuses;
    std::vector<request_rule> rules; ///< The first match applies; default: not idempotent, class `order`.
    std::vector<target_plan> targets;
    std::string report_path; ///< Path of the servers' own report; empty: the path from the settings.
    std::optional<warm_up_plan> warm_up =
        std::nullopt; ///< Unset: cold servers get as many requests as others.

    /// @return the first rule that matches, or nullptr.
    [[nodiscard]] const request_rule* match(std::string_view method, std::string_view path) const;
};

/// Configuration of one deployment: its services, targets and routes. Immutable once accepted.
struct plan {
    std::uint64_t version = 0;
    std::string deployment;
    std::vector<service_plan> services;
    std::string sheet;              ///< Text as published; forwarded to other nodes unchanged.
    std::uint64_t content_hash = 0; ///< `stable_hash` of the sheet.
    /// Null: the first label of `Host` selects the service.
    std::shared_ptr<const route_table> routes = nullptr;
    std::optional<caller_limits> limits = std::nullopt;            ///< Unset: the node's own limits apply.
    std::optional<fleet_retry_budget> retry_budget = std::nullopt; ///< Unset: each entry uses its own budget.
    std::vector<data_centre_id> evacuated_data_centres =
        {}; ///< Sorted, unique. Their servers get no new work.

    /// @param request must have a `host` field if the plan has routes.
    /// @return true if the request may run more than once.
    [[nodiscard]] bool is_idempotent(const service_plan& service, const http_request& request) const;

    /// @return the service, or nullptr.
    [[nodiscard]] const service_plan* find_service(const service_id& id) const;

    /// @return the service that the target belongs to, or nullptr.
    [[nodiscard]] const service_plan* service_of(const target_id& id) const;

    /// @return the target, or nullptr.
    [[nodiscard]] const target_plan* find_target(const target_id& id) const;

    /// @return whether the servers of the data centre get no new work.
    [[nodiscard]] bool is_evacuated(const data_centre_id& data_centre) const;
};

} // namespace cornelpier
