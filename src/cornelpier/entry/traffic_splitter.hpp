#pragma once

#include "cornelpier/base/random_source.hpp"
#include "cornelpier/plan/route.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace cornelpier {

/// Deals the requests of a route to its shares by weight, so that after any number of requests each share is
/// within one request of its part. Independent draws would stray from it on a slow route.
class traffic_splitter {
  public:
    /// @param via its shares must not be empty.
    /// @param random sets the starting point, which differs between entries.
    /// @return the service of the share that is furthest behind.
    const service_id& pick(const route& matched_route, random_source& random);

  private:
    struct split_state {
        std::vector<std::uint32_t> weights;
        std::vector<double> credits; ///< Requests that each share is behind its part.
    };

    std::unordered_map<std::string, split_state> m_split_states; ///< By name of the route.
};

} // namespace cornelpier
