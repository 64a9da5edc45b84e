#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/base/units.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelpier {

/// Largest plan sheet that is accepted, in bytes.
inline constexpr std::size_t max_plan_bytes = 1'000'000;

/// Order in which requests are served and, reversed, shed.
enum class request_class : std::uint8_t {
    order,          ///< Must not be lost; served first.
    urgent_lookup,  ///< Its tail latency matters.
    patient_lookup, ///< May wait; shed first.
};

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

    /// @return the service, or nullptr.
    [[nodiscard]] const service_plan* find_service(const service_id& id) const;

    /// @return the service that the target belongs to, or nullptr.
    [[nodiscard]] const service_plan* service_of(const target_id& id) const;

    /// @return the target, or nullptr.
    [[nodiscard]] const target_plan* find_target(const target_id& id) const;
};

} // namespace cornelpier
