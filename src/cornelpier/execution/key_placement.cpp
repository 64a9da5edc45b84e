#include "cornelpier/execution/key_placement.hpp"

#include "cornelpier/base/hash.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cornelpier {

namespace {

constexpr std::size_t max_former = 16;

} // namespace

void key_placement::update(const service_plan* service, time_point now) {
    if (service == nullptr) {
        replace({}, {}, now);
        return;
    }
    m_key_memory = service->key_memory;

    std::vector<target_id> targets;
    targets.reserve(service->targets.size());
    std::ranges::transform(service->targets, std::back_inserter(targets), &target_plan::id);
    std::ranges::sort(targets);
    replace(service->id, std::move(targets), now);
}

void key_placement::replace(service_id service, std::vector<target_id> targets, time_point now) {
    if (m_known && targets == m_targets && service == m_service) {
        return;
    }
    if (std::exchange(m_known, true)) {
        m_former.push_back({now, std::move(m_service), std::move(m_targets)});
    }
    m_service = std::move(service);
    m_targets = std::move(targets);
    discard_former(now);
}

void key_placement::discard_former(time_point now) {
    while (!m_former.empty() && m_former.front().replaced_at + m_key_memory < now) {
        m_former.pop_front();
    }
    if (m_former.size() > max_former) {
        m_all_unproved_until = m_former.front().replaced_at + m_key_memory;
        m_former.pop_front();
    }
}

duration key_placement::unproved_for(const std::string& key, time_point now) const {
    time_point until = std::max(m_start + m_key_memory, m_all_unproved_until);
    for (const auto& former : m_former) {
        if (!owned_before(former, key)) {
            until = std::max(until, former.replaced_at + m_key_memory);
        }
    }
    return std::max(until - now, duration::zero());
}

bool key_placement::owned_before(const former_targets& former, const std::string& key) const {
    return former.service == m_service && owns(former.targets, key);
}

bool key_placement::owns(const std::vector<target_id>& targets, const std::string& key) const {
    const auto it = std::ranges::max_element(
        targets, {}, [&](const target_id& target) { return rendezvous_score(key, target.value()); });
    return it != targets.end() && *it == m_self;
}

} // namespace cornelpier
