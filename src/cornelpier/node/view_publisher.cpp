#include "cornelpier/node/view_publisher.hpp"

namespace cornelpier {

shared_fleet_view view_publisher::take_due(const std::shared_ptr<const plan>& current,
                                           std::span<const member> members, time_point now) {
    if (m_min_interval == duration::max() || now - m_published_at < m_min_interval) {
        return nullptr;
    }
    m_min_interval = duration::max();
    m_published_at = now;

    auto view = std::make_shared<fleet_view>();
    view->current_plan = current;
    for (const auto& it : members) {
        if (it.has_record()) {
            view->node_states.emplace(it.id, it.state);
        }
        if (it.observed_vm_state != vm_state::unlisted) {
            view->vm_states.emplace(it.id, it.observed_vm_state);
        }
    }
    return view;
}

} // namespace cornelpier
