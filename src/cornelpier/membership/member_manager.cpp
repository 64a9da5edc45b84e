#include "cornelpier/membership/member_manager.hpp"

#include <algorithm>

namespace cornelpier {

namespace {

/// Limits the members that are stored from peers while no plan says which targets exist.
constexpr std::size_t max_members_without_plan = 4096;

/// Number of messages that include a change with priority. Only changes to or from a leaving state get it,
/// since they decide where new work goes; when a fleet starts, every record changes.
constexpr std::uint8_t priority_sends_per_change = 12;

/// Nodes first seen within this time after the start were running before it and are not reported as joined.
constexpr duration startup_discovery_period = std::chrono::seconds{30};

bool is_leaving(node_state state) {
    return state == node_state::draining || state == node_state::stopped;
}

duration clamp_age(duration age) {
    return std::clamp<duration>(age, duration::zero(), unknown_age);
}

} // namespace

member_manager::member_manager(const node_identity& identity, time_point now) : m_start(now) {
    member& self = add(identity.self, now);
    self.process = identity.process;
    self.state = node_state::starting;
    self.vm = identity.vm;
    self.data_centre = identity.data_centre;
    self.last_seen_at = now;
    self.vm_assigned_at = now;

    for (const auto& it : identity.seeds) {
        if (m_index.find(it.id) == m_index.end()) {
            add(it.id, now).address = it.address;
        }
    }
}

member& member_manager::add(const target_id& id, time_point now) {
    m_index.emplace(id, m_members.size());
    member& added = m_members.emplace_back();
    added.id = id;
    added.added_at = now;
    added.removed_at = now;
    added.vm_observed_at = now - unknown_age;
    added.vm_assigned_at = now - unknown_age;
    return added;
}

const member* member_manager::find(const target_id& id) const {
    const auto it = m_index.find(id);
    return it == m_index.end() ? nullptr : &m_members[it->second];
}

member* member_manager::find_or_add(const target_id& id, time_point now) {
    if (const auto it = m_index.find(id); it != m_index.end()) {
        return &m_members[it->second];
    }
    if (m_has_plan || m_members.size() >= max_members_without_plan) {
        return nullptr;
    }
    return &add(id, now);
}

void member_manager::apply_plan(const plan& current, time_point now) {
    m_has_plan = true;
    m_has_removed_members = true;
    m_changed = true;
    for (auto& it : m_members) {
        if (it.in_plan) {
            it.removed_at = now;
        }
        it.in_plan = false;
    }

    for (const auto& service : current.services) {
        for (const auto& target : service.targets) {
            const auto it = m_index.find(target.id);
            member& existing = it == m_index.end() ? add(target.id, now) : m_members[it->second];
            existing.in_plan = true;
            if (&existing != m_members.data()) {
                update_placement(existing, target, now);
            }
        }
    }
}

void member_manager::update_placement(member& existing, const target_plan& target, time_point now) {
    const bool moved = existing.vm != vm_id{} && existing.vm != target.vm;
    existing.address = target.node_address;
    existing.vm = target.vm;
    existing.data_centre = target.data_centre;
    if (moved) {
        existing.observed_vm_state = vm_state::unlisted;
        existing.vm_observed_at = now - unknown_age;
        existing.vm_assigned_at = now;
    }
}

void member_manager::update_record(member& existing, const member_record& record, time_point last_seen_at,
                                   time_point now) {
    const bool joined = !existing.has_record();
    const bool restarted = !joined && existing.process != record.process;
    if (joined || restarted || existing.state != record.state) {
        m_changed = true;
    }
    if (existing.state != record.state && (is_leaving(existing.state) || is_leaving(record.state))) {
        existing.priority_sends = priority_sends_per_change;
        m_leaving_changed = true;
    }

    if (joined && now - m_start >= startup_discovery_period) {
        m_events.push_back({event_number::member_joined, {{"target", existing.id.value()}}});
    }
    if (restarted) {
        m_events.push_back({event_number::member_restarted, {{"target", existing.id.value()}}});
        existing.previous_process = existing.process;
    }
    existing.process = record.process;
    existing.state = record.state;
    existing.last_seen_at = last_seen_at;
    existing.age_at_request = duration::zero();
}

void member_manager::apply_direct_record(const member_record& direct, time_point now) {
    member* existing = find_or_add(direct.target, now);
    if (existing == nullptr || existing == m_members.data() || direct.process == incarnation{} ||
        direct.process == existing->previous_process) {
        return;
    }
    update_record(*existing, direct, now, now);
    merge_vm_state(*existing, direct, now);
}

void member_manager::apply_relayed_record(const member_record& record, time_point now) {
    member* existing = find_or_add(record.target, now);
    if (existing == nullptr) {
        return;
    }
    merge_vm_state(*existing, record, now);
    if (existing == m_members.data() || record.process == incarnation{} ||
        record.process == existing->previous_process) {
        return;
    }

    const duration age = clamp_age(record.age);
    if (!existing->has_record() || age < now - existing->last_seen_at) {
        update_record(*existing, record, now - age, now);
    }
}

void member_manager::merge_vm_state(member& existing, const member_record& record, time_point now) {
    const duration age = clamp_age(record.vm_age);
    if (age < unknown_age && age < now - existing.vm_observed_at && now - age >= existing.vm_assigned_at) {
        existing.vm_observed_at = now - age;
        set_vm_state(existing, record.vm);
    }
}

void member_manager::set_vm_state(member& existing, vm_state observed) {
    if (existing.observed_vm_state == observed) {
        return;
    }
    if (observed == vm_state::leaving || existing.observed_vm_state == vm_state::leaving) {
        existing.priority_sends = priority_sends_per_change;
        m_leaving_changed = true;
    }
    existing.observed_vm_state = observed;
    m_changed = true;
    if (observed == vm_state::leaving) {
        m_events.push_back(
            {event_number::vm_leaving, {{"vm", existing.vm.value()}, {"target", existing.id.value()}}});
    }
}

std::vector<target_id> member_manager::apply_vm_list(const std::vector<std::pair<vm_id, vm_state>>& vms,
                                                     time_point now) {
    const std::unordered_map<vm_id, vm_state> states(vms.begin(), vms.end());
    std::vector<target_id> changed;

    for (auto& it : m_members) {
        if (it.vm == vm_id{}) {
            continue;
        }
        const auto found = states.find(it.vm);
        const vm_state observed = found == states.end() ? vm_state::unlisted : found->second;
        // The first list changes every VM from unlisted to live. Reporting those changes would make the
        // reader send one datagram to every node at once.
        if (observed != it.observed_vm_state &&
            (observed == vm_state::leaving || it.observed_vm_state == vm_state::leaving)) {
            changed.push_back(it.id);
        }
        it.vm_observed_at = now;
        set_vm_state(it, observed);
    }
    return changed;
}

void member_manager::set_own_state(node_state state) {
    if (m_members.front().state != state) {
        m_members.front().state = state;
        m_changed = true;
    }
}

member_record member_manager::own_record(time_point now) {
    m_members.front().last_seen_at = now;
    return m_members.front().record(now);
}

void member_manager::expire_removed_members(time_point now) {
    if (!m_has_plan || !m_has_removed_members) {
        return;
    }
    const auto self = m_members.front().id;
    const auto removed = std::erase_if(m_members, [&](const member& it) {
        return !it.in_plan && it.id != self && now - it.removed_at >= removed_member_ttl;
    });
    m_has_removed_members =
        std::ranges::any_of(m_members, [&](const member& it) { return !it.in_plan && it.id != self; });
    if (removed == 0) {
        return;
    }

    m_changed = true;
    m_index.clear();
    for (std::size_t n = 0; n < m_members.size(); ++n) {
        m_index.emplace(m_members[n].id, n);
    }
}

} // namespace cornelpier
