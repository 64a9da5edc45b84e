#include "cornelpier/entry/leaving_server_table.hpp"

#include <chrono>
#include <unordered_map>

namespace cornelpier {

namespace {

/// A server that has started again under its former name is used again after this time, even if neither the
/// view nor its owner showed the change.
constexpr duration max_record_age = std::chrono::seconds{60};

} // namespace

void leaving_server_table::on_reading(const load_reading& load, const std::string& instance, time_point now) {
    if (!load.advice_known) {
        return;
    }
    if (load.server_leaving) {
        m_servers.insert_or_assign(load.target, record{instance, now});
    } else {
        m_servers.erase(load.target);
    }
}

void leaving_server_table::on_view(const fleet_view& view) {
    std::erase_if(m_servers, [&](const auto& it) {
        const auto& [target, server] = it;
        const auto* planned = view.current_plan->find_target(target);
        const auto vm = view.vm_states.find(target);
        const bool is_shown = vm != view.vm_states.end() && vm->second == vm_state::leaving;
        return planned == nullptr || is_shown || planned->instance != server.instance;
    });
}

bool leaving_server_table::contains(const target_id& target, time_point now) const {
    const auto it = m_servers.find(target);
    return it != m_servers.end() && now - it->second.said_at < max_record_age;
}

} // namespace cornelpier
