#include "cornelpier/retry/retry_budget.hpp"

#include <algorithm>

namespace cornelpier {

void retry_budget::configure(double ratio, double capacity) {
    m_ratio = ratio;
    m_capacity = capacity;
    m_tokens = std::min(m_tokens, capacity);
}

void retry_budget::on_call() {
    m_tokens = std::min(m_tokens + m_ratio, m_capacity);
}

bool retry_budget::try_take() {
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

} // namespace cornelpier
