#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/base/units.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cornelpier {

/// Order in which requests are served and, reversed, shed. A lower value is more urgent; plans with routes
/// use their own ranks beside the named ones.
enum class request_class : std::uint8_t {
    order,          ///< Must not be lost; served first.
    urgent_lookup,  ///< Its tail latency matters.
    patient_lookup, ///< May wait; shed first.
};

/// Least urgent rank that a plan may use.
inline constexpr request_class least_urgent_class{15};

/// Part of a route's traffic.
struct weighted_service {
    service_id service;
    std::uint32_t weight = 1; ///< Relative to the other shares of the route.
};

/// Where requests of a host and path go, and what may be done with them.
struct route {
    std::string name;
    std::string host;        ///< In lower case, without port.
    std::string path_prefix; ///< Begins and ends with `/`.
    bool idempotent = false;
    request_class priority = request_class::order;
    duration timeout{};                              ///< Longest time that a caller is kept waiting.
    duration objective{};                            ///< Time within which an answer is worth most.
    std::uint32_t max_attempts = 1;                  ///< Servers that one request may reach.
    std::vector<weighted_service> weighted_services; ///< At least one.
};

/// Bounds on what a caller may send.
struct caller_limits {
    std::size_t max_header_bytes = 0;
    std::size_t max_body_bytes = 0;
    duration header_timeout{}; ///< Time until the head is complete.
    duration idle_timeout{};   ///< Time that a connection may stay without a request.
};

/// Requests beyond the first send that a whole fleet may make for one service.
struct fleet_retry_budget {
    double ratio = 0; ///< Of the calls.
    double slack = 0; ///< On top, shared by all entries, in one window of the fleet's budget.
};

/// Finds the route of a request: of those of its host, the one with the longest prefix.
class route_table {
  public:
    route_table() = default;

    /// @param routes of all hosts, in any order.
    explicit route_table(std::vector<route> routes);

    /// @param host value of the Host field; case and port are ignored.
    /// @param path origin form; a query is ignored.
    /// @return the route, or nullptr.
    [[nodiscard]] const route* find(std::string_view host, std::string_view path) const;

    [[nodiscard]] std::size_t size() const { return m_size; }

  private:
    std::unordered_map<std::string, std::vector<route>> m_hosts; ///< Longest prefix first.
    std::size_t m_size = 0;
};

} // namespace cornelpier
