#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/base/units.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cornelpier {

/// Priority class of a request: lower values are served first and shed last. Plans with routes may use values
/// other than the named ones, up to `least_urgent_class`.
enum class request_class : std::uint8_t {
    order,          ///< Must not be lost; served first.
    urgent_lookup,  ///< Sensitive to tail latency.
    patient_lookup, ///< Tolerates waiting; shed first.
};

/// Largest value that a plan may use.
inline constexpr request_class least_urgent_class{15};

/// Service that receives a weighted part of a route's traffic.
struct weighted_service {
    service_id service;
    std::uint32_t weight = 1; ///< Relative to the other services of the route.
};

/// Services and policies for requests of one host and path prefix.
struct route {
    std::string name;
    std::string host;        ///< In lower case, without port.
    std::string path_prefix; ///< Starts and ends with `/`.
    bool idempotent = false;
    bool large_responses = false; ///< A repeat takes bandwidth that other responses wait for.
    request_class priority = request_class::order;
    duration timeout{};                              ///< Maximum time until the caller gets a response.
    duration objective{};                            ///< Latency objective of the route.
    std::uint32_t max_attempts = 1;                  ///< Maximum number of servers that a request is sent to.
    std::vector<weighted_service> weighted_services; ///< At least one.
};

/// @return the name by which hosts are compared: in lower case, without port.
std::string normalized_host(std::string_view host);

/// @return whether any service of a route receives traffic.
bool has_positive_weight(const std::vector<weighted_service>& services);

/// Limits on the requests and connections of callers.
struct caller_limits {
    std::size_t max_header_bytes = 0;
    std::size_t max_body_bytes = 0;
    duration header_timeout{}; ///< Time limit for receiving the header section.
    duration idle_timeout{};   ///< Time limit for a connection without a request.
};

/// Limit on bodies without a limit in the plan, in bytes.
inline constexpr std::size_t default_body_limit_bytes = std::size_t{1024} * 1024;

/// Largest limit on bodies that a plan can set, in bytes. Sizes on node links have 32 bits.
inline constexpr std::size_t max_body_limit_bytes = std::size_t{1024} * 1024 * 1024;

/// @return largest body of a caller's request, in bytes.
constexpr std::size_t body_limit(const caller_limits& limits) {
    return limits.max_body_bytes == 0 ? default_body_limit_bytes
                                      : std::min(limits.max_body_bytes, max_body_limit_bytes);
}

/// Budget for sending requests of one service again, shared by all entries of the fleet.
struct fleet_retry_budget {
    double ratio = 0; ///< Additional sends per call.
    double slack = 0; ///< Additional sends on top of the ratio, per window of the fleet's budget.

    /// @param entry_count number of entries that share the budget.
    /// @return the most additional sends that one entry can make at once.
    [[nodiscard]] double capacity_per_entry(std::size_t entry_count) const;
};

/// Finds the route of a request by its host and the longest matching path prefix.
class route_table {
  public:
    route_table() = default;

    /// @param routes routes of all hosts, in any order.
    explicit route_table(std::vector<route> routes);

    /// @param host value of the Host header; case and port are ignored.
    /// @param path path in origin form; the query is ignored.
    /// @return the route, or nullptr.
    [[nodiscard]] const route* find(std::string_view host, std::string_view path) const;

    [[nodiscard]] std::size_t size() const { return m_size; }

  private:
    /// Routes by host, sorted by descending length of the prefix.
    std::unordered_map<std::string, std::vector<route>> m_hosts;
    std::size_t m_size = 0;
};

} // namespace cornelpier
