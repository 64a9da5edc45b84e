#include "cornelpier/admission/admission_queue.hpp"

#include <iterator>
#include <limits>

namespace cornelpier {

admission_queue::offer_result admission_queue::offer(run_id id, request_class priority) {
    offer_result result;
    if (!accepts(priority)) {
        return result;
    }
    if (size() >= m_capacity) {
        result.shed = m_order.rbegin()->second;
        remove(*result.shed);
    }
    const position place{priority, ++m_arrivals};
    m_order.emplace(place, id);
    m_positions.emplace(id, place);
    result.accepted = true;
    return result;
}

std::optional<run_id> admission_queue::pop() {
    if (m_order.empty()) {
        return std::nullopt;
    }
    const run_id id = m_order.begin()->second;
    remove(id);
    return id;
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

std::size_t admission_queue::ahead_of(request_class priority) const {
    const position after{priority, std::numeric_limits<std::uint64_t>::max()};
    return static_cast<std::size_t>(std::distance(m_order.begin(), m_order.upper_bound(after)));
}

bool admission_queue::accepts(request_class priority) const {
    if (size() < m_capacity) {
        return true;
    }
    return !m_order.empty() && m_order.rbegin()->first.first > priority;
}

} // namespace cornelpier
