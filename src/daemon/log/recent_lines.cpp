#include "daemon/log/recent_lines.hpp"

#include <utility>

namespace cornelpier {

void recent_lines::add(std::string line) {
    const std::lock_guard lock(m_mutex);
    m_lines.push_back(std::move(line));
    if (m_lines.size() > m_capacity) {
        m_lines.pop_front();
    }
}

std::string recent_lines::text() const {
    const std::lock_guard lock(m_mutex);
    std::string result;
    for (const auto& it : m_lines) {
        result += it;
        result += '\n';
    }
    return result;
}

} // namespace cornelpier
