#include "cornelpier/owner/evacuation_monitor.hpp"

#include <algorithm>
#include <iterator>

namespace cornelpier {

namespace {

/// @return the elements of `list` that `other` lacks; both are sorted.
std::vector<data_centre_id> only_in(const std::vector<data_centre_id>& list,
                                    const std::vector<data_centre_id>& other) {
    std::vector<data_centre_id> result;
    std::ranges::set_difference(list, other, std::back_inserter(result));
    return result;
}

} // namespace

void evacuation_monitor::on_view() {
    const auto& next = m_view->current_plan->evacuated_data_centres;
    log(only_in(next, m_evacuated), true);
    log(only_in(m_evacuated, next), false);
    m_evacuated = next;
}

void evacuation_monitor::log(const std::vector<data_centre_id>& changed, bool in_force) {
    for (const auto& it : changed) {
        m_outbox.log(event_number::evacuation_changed,
                     {{"data_centre", it.value()}, {"in_force", in_force ? "1" : "0"}});
    }
}

} // namespace cornelpier
