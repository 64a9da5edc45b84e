#include "cornelpier/plan/route.hpp"

#include "cornelpier/message/http_fields.hpp"

#include <algorithm>
#include <utility>

namespace cornelpier {

std::string normalized_host(std::string_view host) {
    return to_lower_case(host.substr(0, host.rfind(':')));
}

bool has_positive_weight(const std::vector<weighted_service>& services) {
    return std::ranges::any_of(services, [](const weighted_service& it) { return it.weight > 0; });
}

double fleet_retry_budget::capacity_per_entry(std::size_t entry_count) const {
    return std::max(1.0, slack / static_cast<double>(std::max<std::size_t>(entry_count, 1)));
}

route_table::route_table(std::vector<route> routes) : m_size(routes.size()) {
    for (auto& it : routes) {
        auto& list = m_hosts[normalized_host(it.host)];
        list.push_back(std::move(it));
    }
    for (auto& [host, list] : m_hosts) {
        std::ranges::stable_sort(list, std::ranges::greater{},
                                 [](const route& it) { return it.path_prefix.size(); });
    }
}

const route* route_table::find(std::string_view host, std::string_view path) const {
    const auto found = m_hosts.find(normalized_host(host));
    if (found == m_hosts.end()) {
        return nullptr;
    }
    const auto plain = path.substr(0, path.find('?'));
    const auto it = std::ranges::find_if(
        found->second, [plain](const route& candidate) { return plain.starts_with(candidate.path_prefix); });
    return it == found->second.end() ? nullptr : &*it;
}

} // namespace cornelpier
