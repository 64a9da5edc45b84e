#include "cornelpier/admission/admission_queue.hpp"

#include <algorithm>
#include <iterator>
#include <limits>

namespace cornelpier {

admission_queue::offer_result admission_queue::offer(run_id id, request_class priority,
                                                     time_point latest_start, time_point late_after) {
    offer_result result;
    if (!accepts(priority)) {
        return result;
    }
    if (size() >= m_capacity) {
        result.shed = m_order.rbegin()->second.id;
        remove(*result.shed);
    }
    const position place{priority, latest_start, ++m_arrivals};
    m_order.emplace(place, queued_run{id, late_after});
    m_positions.emplace(id, place);
    result.accepted = true;
    return result;
}

std::optional<run_id> admission_queue::next(time_point now) const {
    if (m_order.empty()) {
        return std::nullopt;
    }
    const auto on_time =
        std::ranges::find_if(m_order, [now](const auto& it) { return it.second.late_after >= now; });
    return on_time == m_order.end() ? m_order.begin()->second.id : on_time->second.id;
}

bool admission_queue::remove(run_id id) {
    const auto it = m_positions.find(id);
    if (it == m_positions.end()) {
        return false;
    }
    m_order.erase(it->second);
    m_positions.erase(it);
    return true;
}

std::vector<run_id> admission_queue::in_order() const {
    std::vector<run_id> result;
    result.reserve(size());
    std::ranges::transform(m_order, std::back_inserter(result), [](const auto& it) { return it.second.id; });
    return result;
}

std::size_t admission_queue::ahead_of(request_class priority, time_point latest_start) const {
    const position after{priority, latest_start, std::numeric_limits<std::uint64_t>::max()};
    return static_cast<std::size_t>(std::distance(m_order.begin(), m_order.upper_bound(after)));
}

bool admission_queue::accepts(request_class priority) const {
    if (size() < m_capacity) {
        return true;
    }
    return !m_order.empty() && std::get<request_class>(m_order.rbegin()->first) > priority;
}

} // namespace cornelpier
