#include "cornelpier/routing/distance_table.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace cornelpier {

namespace {

constexpr duration default_within_data_centre = std::chrono::microseconds{300};
constexpr duration default_between_data_centres = std::chrono::milliseconds{2};
constexpr std::int64_t smoothing = 8; // A sample counts for an eighth.

template <typename Key>
void smooth(std::unordered_map<Key, duration>& values, const Key& key, duration sample) {
    const auto [it, is_new] = values.try_emplace(key, sample);
    if (!is_new) {
        it->second += (sample - it->second) / smoothing;
    }
}

} // namespace

distance_table::distance_table(data_centre_id own) : m_own(std::move(own)) {}

void distance_table::observe(const target_id& target, const data_centre_id& data_centre,
                             duration round_trip) {
    const duration sample = std::max(round_trip, duration::zero());
    smooth(m_targets, target, sample);
    smooth(m_data_centres, data_centre, sample);
}

void distance_table::observe_upper_bound(const target_id& target, const data_centre_id& data_centre,
                                         duration bound) {
    if (!m_targets.contains(target) || bound < distance(target, data_centre)) {
        observe(target, data_centre, bound);
    }
}

duration distance_table::distance(const target_id& target, const data_centre_id& data_centre) const {
    if (const auto it = m_targets.find(target); it != m_targets.end()) {
        return it->second;
    }
    if (const auto it = m_data_centres.find(data_centre); it != m_data_centres.end()) {
        return it->second;
    }
    return data_centre == m_own ? default_within_data_centre : default_between_data_centres;
}

} // namespace cornelpier
