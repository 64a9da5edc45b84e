#include "daemon/link/control_links.hpp"

#include <algorithm>
#include <utility>

namespace cornelpier {

control_links::route* control_links::find(const std::string& address) {
    const auto it = m_routes.find(address);
    return it == m_routes.end() ? nullptr : &it->second;
}

control_links::route& control_links::add(const std::string& address, link_id link) {
    return m_routes.insert_or_assign(address, route{link, false, clock::now(), {}}).first->second;
}

std::vector<control_message> control_links::opened(link_id link) {
    const auto it =
        std::ranges::find_if(m_routes, [&](const auto& item) { return item.second.link == link; });
    if (it == m_routes.end()) {
        return {};
    }
    it->second.open = true;
    return std::exchange(it->second.waiting, {});
}

void control_links::closed(link_id link) {
    std::erase_if(m_routes, [&](const auto& item) { return item.second.link == link; });
}

std::vector<link_id> control_links::take_idle(clock::time_point since) {
    std::vector<link_id> result;
    std::erase_if(m_routes, [&](const auto& item) {
        const bool idle = item.second.last_use < since;
        if (idle) {
            result.push_back(item.second.link);
        }
        return idle;
    });
    return result;
}

} // namespace cornelpier
