#pragma once

#include "cornelpier/base/event_record.hpp"
#include "cornelpier/base/random_source.hpp"
#include "cornelpier/membership/member.hpp"
#include "cornelpier/node/node_identity.hpp"
#include "cornelpier/plan/plan.hpp"

#include <cstddef>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cornelpier {

/// Stores member records and VM states with their ages. All of them are hints and may be out of date. Times
/// come from the clock of the calling code, which must also advance while the process is suspended.
class member_manager {
  public:
    /// Members that left the plan are removed after this time.
    static constexpr duration removed_member_ttl = std::chrono::seconds{60};

    /// @param identity identity of the node; its seeds are members until there is a plan.
    /// @param now current time.
    member_manager(const node_identity& identity, time_point now);

    /// Adds the plan's targets and marks members that are not in it.
    void apply_plan(const plan& current, time_point now);

    /// Applies the record that a message has of its own sender.
    /// @param direct record of the sender; the time of arrival counts as its time of observation.
    void apply_direct_record(const member_record& direct, time_point now);

    /// Applies a record that a peer relayed from a third node if it is newer than the stored one.
    void apply_relayed_record(const member_record& record, time_point now);

    /// Applies the platform's VM list. VMs that are not in it become unlisted.
    /// @return targets whose VM began or ceased to leave.
    std::vector<target_id> apply_vm_list(const std::vector<std::pair<vm_id, vm_state>>& vms, time_point now);

    /// @param state lifecycle state of this node.
    void set_own_state(node_state state);

    /// Removes members that left the plan at least `removed_member_ttl` ago.
    void expire_removed_members(time_point now);

    /// Updates the timestamp of this node's record.
    /// @return the record.
    member_record own_record(time_point now);

    /// @return all members, this node first.
    [[nodiscard]] std::span<const member> members() const { return m_members; }

    /// @return members for `record_selector`, which records in them what was sent.
    [[nodiscard]] std::span<member> members() { return m_members; }

    /// @return the member, or nullptr.
    [[nodiscard]] const member* find(const target_id& id) const;

    /// @return true if a state that fleet views contain has changed since the last call.
    bool take_changed() { return std::exchange(m_changed, false); }

    /// @return true if a node or VM began or ceased to leave since the last call.
    bool take_leaving_changed() { return std::exchange(m_leaving_changed, false); }

    /// @return events since the last call.
    std::vector<event_record> take_events() { return std::exchange(m_events, {}); }

  private:
    member& add(const target_id& id, time_point now);
    member* find_or_add(const target_id& id, time_point now);
    static void update_placement(member& existing, const target_plan& target, time_point now);
    void update_record(member& existing, const member_record& record, time_point last_seen_at,
                       time_point now);
    void merge_vm_state(member& existing, const member_record& record, time_point now);
    void set_vm_state(member& existing, vm_state observed);

    time_point m_start;
    bool m_has_plan = false;
    bool m_has_removed_members = false; ///< True if there may be members that are not in the plan.
    bool m_changed = false;
    bool m_leaving_changed = false;
    std::vector<member> m_members;
    std::unordered_map<target_id, std::size_t> m_index;
    std::vector<event_record> m_events;
};

} // namespace cornelpier
