#include "cornelpier/entry/attempt_index.hpp"

namespace cornelpier {

void attempt_index::add_waiting(const target_id& target, const attempt_id& attempt) {
    m_targets[target].waiting.insert(attempt);
}

void attempt_index::mark_sent(const target_id& target, const attempt_id& attempt) {
    auto& attempts = m_targets[target];
    attempts.waiting.erase(attempt);
    attempts.sent.insert(attempt);
}

void attempt_index::remove(const target_id& target, const attempt_id& attempt) {
    auto& attempts = m_targets[target];
    attempts.waiting.erase(attempt);
    attempts.sent.erase(attempt);
}

std::vector<attempt_id> attempt_index::waiting(const target_id& target) const {
    const auto it = m_targets.find(target);
    return it == m_targets.end()
               ? std::vector<attempt_id>{}
               : std::vector<attempt_id>(it->second.waiting.begin(), it->second.waiting.end());
}

std::vector<attempt_id> attempt_index::sent(const target_id& target) const {
    const auto it = m_targets.find(target);
    return it == m_targets.end() ? std::vector<attempt_id>{}
                                 : std::vector<attempt_id>(it->second.sent.begin(), it->second.sent.end());
}

bool attempt_index::has_waiting(const target_id& target) const {
    const auto it = m_targets.find(target);
    return it != m_targets.end() && !it->second.waiting.empty();
}

bool attempt_index::has_sent(const target_id& target) const {
    const auto it = m_targets.find(target);
    return it != m_targets.end() && !it->second.sent.empty();
}

} // namespace cornelpier
