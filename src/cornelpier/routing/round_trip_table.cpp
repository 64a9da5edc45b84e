#include "cornelpier/routing/round_trip_table.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace cornelpier {

namespace {

constexpr duration default_local_round_trip = std::chrono::microseconds{300};
constexpr duration default_remote_round_trip = std::chrono::milliseconds{2};
constexpr std::int64_t smoothing_divisor = 8; // A sample has a weight of one eighth.

template <typename Key>
void smooth(std::unordered_map<Key, duration>& values, const Key& key, duration sample) {
    const auto [it, is_new] = values.try_emplace(key, sample);
    if (!is_new) {
        it->second += (sample - it->second) / smoothing_divisor;
    }
}

} // namespace

round_trip_table::round_trip_table(data_centre_id own_data_centre)
    : m_own_data_centre(std::move(own_data_centre)) {}

void round_trip_table::observe(const target_id& target, const data_centre_id& data_centre,
                               duration measured) {
    const duration sample = std::max(measured, duration::zero());
    smooth_round_trip(target, data_centre, sample);
    const auto [it, is_new] = m_fastest.try_emplace(data_centre, sample);
    it->second = std::min(it->second, sample);
}

void round_trip_table::smooth_round_trip(const target_id& target, const data_centre_id& data_centre,
                                         duration sample) {
    smooth(m_targets, target, sample);
    smooth(m_data_centres, data_centre, sample);
}

void round_trip_table::observe_upper_bound(const target_id& target, const data_centre_id& data_centre,
                                           duration bound) {
    if (!m_targets.contains(target) || bound < round_trip(target, data_centre)) {
        smooth_round_trip(target, data_centre, std::max(bound, duration::zero()));
    }
}

duration round_trip_table::round_trip(const target_id& target, const data_centre_id& data_centre) const {
    if (const auto it = m_targets.find(target); it != m_targets.end()) {
        return it->second;
    }
    if (const auto it = m_data_centres.find(data_centre); it != m_data_centres.end()) {
        return it->second;
    }
    return data_centre == m_own_data_centre ? default_local_round_trip : default_remote_round_trip;
}

std::optional<duration> round_trip_table::fastest(const data_centre_id& data_centre) const {
    const auto it = m_fastest.find(data_centre);
    return it == m_fastest.end() ? std::nullopt : std::optional{it->second};
}

} // namespace cornelpier
