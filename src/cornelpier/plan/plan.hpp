#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/base/units.hpp"
#include "cornelpier/message/http_fields.hpp"
#include "cornelpier/plan/route.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelpier {

/// Largest plan sheet that is accepted, in bytes.
inline constexpr std::size_t max_plan_bytes = 1'000'000;

/// Classifies requests by method and path.
struct request_rule {
    std::string method;      ///< HTTP method; `*` matches any.
    std::string path_prefix; ///< Starts with `/`.
    bool idempotent = false;
    request_class priority = request_class::order;
};

/// A server with the node beside it.
struct target_plan {
    target_id id;
    vm_id vm;
    data_centre_id data_centre;
    std::string node_address; ///< `IP:port` of the node, for node links (TCP) and gossip (UDP).
    /// `IP:port` of the operators' port; nothing if reports cannot ask the node.
    std::optional<std::string> operator_address = std::nullopt;
    /// Name of the server process that stands there now; empty if the source of the plan does not tell.
    std::string instance = {};
    std::uint32_t slots = 0;      ///< Requests that this server works on at a time; 0: as the service says.
    duration warm_up_remaining{}; ///< Time for which the server was still slow when it was first seen.
};

/// What the plan says about a service.
struct service_plan {
    service_id id;
    duration deadline{std::chrono::seconds{2}}; ///< Default and largest deadline of a call.
    double tail_weight = 0.5;                   ///< 0: spend nothing on measuring; 1: the whole budget.
    rate measuring{};                           ///< Measurements per target and second, all kinds together.
    std::uint32_t slots = 1;                    ///< Requests that a server works on at a time.
    duration key_memory{std::chrono::seconds{120}};
    std::vector<int> refusal_statuses; ///< Statuses by which the server promises that it did not execute.
    std::vector<request_rule> rules;   ///< First match counts. No match: not idempotent, class order.
    std::vector<target_plan> targets;
    std::string report_path; ///< Of the servers' own report; empty: the path of the settings.

    /// @return the first rule that matches, or nullptr.
    [[nodiscard]] const request_rule* match(std::string_view method, std::string_view path) const;
};

/// The plan of one deployment. Immutable once accepted.
struct plan {
    std::uint64_t version = 0;
    std::string deployment;
    std::vector<service_plan> services;
    std::string sheet;              ///< Text as published, for handing it on unchanged.
    std::uint64_t content_hash = 0; ///< `stable_hash` of the sheet.
    std::shared_ptr<const route_table> routes =
        nullptr; ///< Null: the first label of `Host` names the service.
    std::optional<caller_limits> limits = std::nullopt;            ///< Nothing: the node's own.
    std::optional<fleet_retry_budget> retry_budget = std::nullopt; ///< Nothing: each entry's own budget.

    /// @return whether a request of the service may run more than once.
    /// @param request with the field `host` if the plan has routes.
    [[nodiscard]] bool is_idempotent(const service_plan& service, const http_request& request) const;

    /// @return the service, or nullptr.
    [[nodiscard]] const service_plan* find_service(const service_id& id) const;

    /// @return the service that the target belongs to, or nullptr.
    [[nodiscard]] const service_plan* service_of(const target_id& id) const;

    /// @return the target, or nullptr.
    [[nodiscard]] const target_plan* find_target(const target_id& id) const;
};

} // namespace cornelpier
