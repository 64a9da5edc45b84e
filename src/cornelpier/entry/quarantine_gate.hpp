#pragma once

#include "cornelpier/entry/call_state.hpp"
#include "cornelpier/entry/entry_context.hpp"
#include "cornelpier/entry/link_set.hpp"
#include "cornelpier/quarantine/suspect_table.hpp"

#include <vector>

namespace cornelpier {

/// What the entry knows about requests that end servers. Passes news on to the owners of the service, which
/// enforce quarantines; here they save the way to an owner.
class quarantine_gate {
  public:
    /// @param context must outlive the object.
    /// @param links must outlive the object.
    quarantine_gate(entry_context& context, link_set& links) : m_context(context), m_links(links) {}

    [[nodiscard]] suspicion level(const call_state& call);

    /// @return rest of the quarantine of the call's request; zero if there is none.
    [[nodiscard]] duration quarantine_left(const call_state& call) const;

    /// Logs and counts a call that is rejected because of a quarantine.
    void on_rejected(const call_state& call);

    /// The server answered the call without a failure.
    void on_success(const call_state& call);

    /// An owner refused the call because of a quarantine.
    /// @param left rest of the quarantine.
    void on_refused(const call_state& call, duration left);

    /// An owner sent what it knows about suspects.
    void on_update(const target_id& from, const suspect_update& update);

    /// Informs owners of the service about what the owner of this node has found out: those that are
    /// connected and some others, or nearly all if the cause is found.
    void publish(const suspect_update& update);

    /// Reconnects to an owner that may have restarted, since it then knows nothing.
    void on_link_lost(const target_id& target);

    /// Connects to the new owners of this node's service.
    /// @param before the view that was in force.
    void on_plan_changed(const fleet_view& before);

    /// Tells an owner to which a link has just opened.
    void on_link_ready(const target_id& target);

  private:
    [[nodiscard]] std::vector<const target_plan*> in_own_order(const std::vector<target_plan>& targets) const;

    /// @return what the owner of a target needs to know when it connects; no suspects if nothing.
    [[nodiscard]] suspect_update news_for(const target_id& target) const;

    /// @return whether the update contained news.
    bool apply(const suspect_update& update);

    entry_context& m_context;
    link_set& m_links;
    suspect_table m_suspects;
};

} // namespace cornelpier
