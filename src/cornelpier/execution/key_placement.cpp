#include "cornelpier/execution/key_placement.hpp"

#include "cornelpier/base/hash.hpp"

#include <algorithm>
#include <utility>

namespace cornelpier {

namespace {

/// Bounds memory and lookup time while the plan changes often. Beyond it, no key counts as new until the key
/// memory has passed since the discarded change.
constexpr std::size_t max_previous_target_sets = 16;

} // namespace

void key_placement::update(const service_plan* service, time_point now,
                           const std::vector<data_centre_id>& evacuated) {
    if (service == nullptr) {
        set_targets({}, {}, now);
        return;
    }
    m_key_memory = service->key_memory;

    std::vector<target_id> targets;
    targets.reserve(service->targets.size());
    for (const auto& it : service->targets) {
        if (!std::ranges::binary_search(evacuated, it.data_centre)) {
            targets.push_back(it.id);
        }
    }
    std::ranges::sort(targets);
    set_targets(service->id, std::move(targets), now);
}

void key_placement::set_targets(service_id service, std::vector<target_id> targets, time_point now) {
    if (m_has_plan && targets == m_targets && service == m_service) {
        return;
    }
    if (std::exchange(m_has_plan, true)) {
        m_previous_targets.push_back({now, std::move(m_service), std::move(m_targets)});
    }
    m_service = std::move(service);
    m_targets = std::move(targets);
    discard_previous_targets(now);
}

void key_placement::discard_previous_targets(time_point now) {
    while (!m_previous_targets.empty() && m_previous_targets.front().replaced_at + m_key_memory < now) {
        m_previous_targets.pop_front();
    }
    if (m_previous_targets.size() > max_previous_target_sets) {
        m_all_unproved_until = m_previous_targets.front().replaced_at + m_key_memory;
        m_previous_targets.pop_front();
    }
}

duration key_placement::unproved_time(const std::string& key, time_point now) const {
    time_point until = std::max(m_started_at + m_key_memory, m_all_unproved_until);
    for (const auto& previous : m_previous_targets) {
        if (!was_home(previous, key)) {
            until = std::max(until, previous.replaced_at + m_key_memory);
        }
    }
    return std::max(until - now, duration::zero());
}

bool key_placement::was_home(const previous_targets& previous, const std::string& key) const {
    return previous.service == m_service && is_home_among(previous.targets, key);
}

bool key_placement::is_home_among(const std::vector<target_id>& targets, const std::string& key) const {
    const auto it = std::ranges::max_element(
        targets, {}, [&](const target_id& target) { return rendezvous_score(key, target.value()); });
    return it != targets.end() && *it == m_self;
}

} // namespace cornelpier
