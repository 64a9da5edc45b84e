#include "daemon/link/link_table.hpp"

#include <utility>

namespace cornelpier {

void link_table::add(link_id link, entry value) {
    const std::lock_guard lock(m_mutex);
    m_entries.insert_or_assign(link, std::move(value));
}

std::optional<link_table::entry> link_table::find(link_id link) const {
    const std::lock_guard lock(m_mutex);
    const auto it = m_entries.find(link);
    return it == m_entries.end() ? std::nullopt : std::optional{it->second};
}

void link_table::mark_carried_traffic(link_id link) {
    const std::lock_guard lock(m_mutex);
    if (const auto it = m_entries.find(link); it != m_entries.end()) {
        it->second.carried_traffic = true;
    }
}

std::optional<link_table::entry> link_table::remove(link_id link) {
    const std::lock_guard lock(m_mutex);
    const auto it = m_entries.find(link);
    if (it == m_entries.end()) {
        return std::nullopt;
    }
    auto value = std::move(it->second);
    m_entries.erase(it);
    return value;
}

std::vector<link_table::entry> link_table::remove_all() {
    const std::lock_guard lock(m_mutex);
    std::vector<entry> result;
    for (auto& [link, value] : m_entries) {
        result.push_back(std::move(value));
    }
    m_entries.clear();
    return result;
}

std::size_t link_table::queued_bytes() const {
    const std::lock_guard lock(m_mutex);
    std::size_t result = 0;
    for (const auto& [link, value] : m_entries) {
        result += value.channel->queued_bytes();
    }
    return result;
}

std::size_t link_table::size() const {
    const std::lock_guard lock(m_mutex);
    return m_entries.size();
}

link_id link_table::next_accepted() {
    const std::lock_guard lock(m_mutex);
    return link_id{++m_last_accepted};
}

link_id link_table::next_control() {
    const std::lock_guard lock(m_mutex);
    return link_id{++m_last_control};
}

} // namespace cornelpier
