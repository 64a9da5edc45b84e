#include "cornelpier/entry/traffic_splitter.hpp"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace cornelpier {

const service_id& traffic_splitter::pick(const route& matched_route, random_source& random) {
    if (matched_route.weighted_services.size() == 1) {
        return matched_route.weighted_services.front().service;
    }

    std::vector<std::uint32_t> weights;
    std::ranges::transform(matched_route.weighted_services, std::back_inserter(weights),
                           &weighted_service::weight);
    auto& state = m_split_states[matched_route.name];
    const double total = std::max(1.0, std::accumulate(weights.begin(), weights.end(), 0.0));
    if (state.weights != weights) {
        state = {weights, std::vector<double>(weights.size())};
        for (std::size_t i = 0; i < weights.size(); ++i) {
            state.credits[i] = random.unit() * weights[i] / total;
        }
    }

    for (std::size_t i = 0; i < weights.size(); ++i) {
        state.credits[i] += weights[i] / total;
    }
    const auto chosen = std::ranges::max_element(state.credits);
    *chosen -= 1;
    return matched_route
        .weighted_services[static_cast<std::size_t>(std::distance(state.credits.begin(), chosen))]
        .service;
}

} // namespace cornelpier
