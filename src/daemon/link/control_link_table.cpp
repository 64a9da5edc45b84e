#include "daemon/link/control_link_table.hpp"

#include <algorithm>
#include <utility>

namespace cornelpier {

control_link_table::entry* control_link_table::find(const std::string& address) {
    const auto it = m_entries.find(address);
    return it == m_entries.end() ? nullptr : &it->second;
}

control_link_table::entry& control_link_table::add(const std::string& address, link_id link) {
    return m_entries.insert_or_assign(address, entry{link, false, clock::now(), {}}).first->second;
}

std::vector<control_message> control_link_table::mark_open(link_id link) {
    const auto it =
        std::ranges::find_if(m_entries, [&](const auto& item) { return item.second.link == link; });
    if (it == m_entries.end()) {
        return {};
    }
    it->second.open = true;
    return std::exchange(it->second.pending_messages, {});
}

void control_link_table::remove(link_id link) {
    std::erase_if(m_entries, [&](const auto& item) { return item.second.link == link; });
}

std::vector<link_id> control_link_table::remove_idle(clock::time_point since) {
    std::vector<link_id> result;
    std::erase_if(m_entries, [&](const auto& item) {
        const bool idle = item.second.last_use < since;
        if (idle) {
            result.push_back(item.second.link);
        }
        return idle;
    });
    return result;
}

} // namespace cornelpier
