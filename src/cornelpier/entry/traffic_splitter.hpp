#pragma once

#include "cornelpier/base/random_source.hpp"
#include "cornelpier/plan/route.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace cornelpier {

/// Smooth weighted round robin over the services of a route. After any number of requests, each service is
/// within about one request of its weighted part; independent random draws would deviate more on a route with
/// little traffic.
class traffic_splitter {
  public:
    /// @param matched_route must have at least one service.
    /// @param random draws the initial credits, so that entries start at different points of the cycle.
    /// @return the service with the largest credit.
    const service_id& pick(const route& matched_route, random_source& random);

  private:
    struct split_state {
        std::vector<std::uint32_t> weights;
        std::vector<double> credits; ///< Requests that each service is owed.
    };

    std::unordered_map<std::string, split_state> m_split_states; ///< By route name.
};

} // namespace cornelpier
