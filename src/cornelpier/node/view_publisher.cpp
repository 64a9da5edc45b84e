#include "cornelpier/node/view_publisher.hpp"

namespace cornelpier {

shared_fleet_view view_publisher::take_due(const std::shared_ptr<const plan>& current,
                                           std::span<const member> members, time_point now) {
    if (m_wait == duration::max() || now - m_published_at < m_wait) {
        return nullptr;
    }
    m_wait = duration::max();
    m_published_at = now;

    auto view = std::make_shared<fleet_view>();
    view->current_plan = current;
    for (const auto& it : members) {
        if (it.known()) {
            view->node_states.emplace(it.id, it.state);
        }
        if (it.vm_fact != vm_state::unlisted) {
            view->vm_states.emplace(it.id, it.vm_fact);
        }
    }
    return view;
}

} // namespace cornelpier
