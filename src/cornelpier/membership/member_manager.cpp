#include "cornelpier/membership/member_manager.hpp"

#include <algorithm>

namespace cornelpier {

namespace {

/// Bound on what is stored from peers before a plan says which targets exist.
constexpr std::size_t max_members_without_plan = 4096;

/// Messages that carry a change with priority. Only changes that concern new work have priority: when a fleet
/// starts, everything changes.
constexpr std::uint8_t news_copies = 12;

/// Nodes heard of this soon after the start were there before; no event reports them as new.
constexpr duration learning_time = std::chrono::seconds{30};

bool leaves(node_state state) {
    return state == node_state::draining || state == node_state::stopped;
}

duration cut_age(duration age) {
    return std::clamp<duration>(age, duration::zero(), unknown_age);
}

} // namespace

member_manager::member_manager(const node_identity& identity, time_point now) : m_start(now) {
    member& self = add(identity.self, now);
    self.process = identity.process;
    self.state = node_state::starting;
    self.vm = identity.vm;
    self.data_centre = identity.data_centre;
    self.heard_at = now;
    self.vm_since = now;

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
    added.left_at = now;
    added.vm_seen_at = now - unknown_age;
    added.vm_since = now - unknown_age;
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
    m_has_former = true;
    m_changed = true;
    for (auto& it : m_members) {
        if (it.in_plan) {
            it.left_at = now;
        }
        it.in_plan = false;
    }

    for (const auto& service : current.services) {
        for (const auto& target : service.targets) {
            const auto it = m_index.find(target.id);
            member& held = it == m_index.end() ? add(target.id, now) : m_members[it->second];
            held.in_plan = true;
            if (&held != m_members.data()) {
                place(held, target, now);
            }
        }
    }
}

void member_manager::place(member& held, const target_plan& target, time_point now) {
    const bool moved = held.vm != vm_id{} && held.vm != target.vm;
    held.address = target.node_address;
    held.vm = target.vm;
    held.data_centre = target.data_centre;
    if (moved) {
        held.vm_fact = vm_state::unlisted;
        held.vm_seen_at = now - unknown_age;
        held.vm_since = now;
    }
}

void member_manager::replace(member& held, const member_record& record, time_point heard_at, time_point now) {
    const bool joined = !held.known();
    const bool restarted = !joined && held.process != record.process;
    if (joined || restarted || held.state != record.state) {
        m_changed = true;
    }
    if (held.state != record.state && (leaves(held.state) || leaves(record.state))) {
        held.news = news_copies;
        m_leaving_changed = true;
    }

    if (joined && now - m_start >= learning_time) {
        m_events.push_back({event_number::member_joined, {{"target", held.id.value()}}});
    }
    if (restarted) {
        m_events.push_back({event_number::member_restarted, {{"target", held.id.value()}}});
        held.replaced = held.process;
    }
    held.process = record.process;
    held.state = record.state;
    held.heard_at = heard_at;
    held.asked_age = duration::zero();
}

void member_manager::hear_directly(const member_record& direct, time_point now) {
    member* held = find_or_add(direct.target, now);
    if (held == nullptr || held == m_members.data() || direct.process == incarnation{} ||
        direct.process == held->replaced) {
        return;
    }
    replace(*held, direct, now, now);
    take_vm_fact(*held, direct, now);
}

void member_manager::hear_of(const member_record& record, time_point now) {
    member* held = find_or_add(record.target, now);
    if (held == nullptr) {
        return;
    }
    take_vm_fact(*held, record, now);
    if (held == m_members.data() || record.process == incarnation{} || record.process == held->replaced) {
        return;
    }

    const duration age = cut_age(record.age);
    if (!held->known() || age < now - held->heard_at) {
        replace(*held, record, now - age, now);
    }
}

void member_manager::take_vm_fact(member& held, const member_record& record, time_point now) {
    const duration age = cut_age(record.vm_age);
    if (age < unknown_age && age < now - held.vm_seen_at && now - age >= held.vm_since) {
        held.vm_seen_at = now - age;
        set_vm_fact(held, record.vm);
    }
}

void member_manager::set_vm_fact(member& held, vm_state fact) {
    if (held.vm_fact == fact) {
        return;
    }
    if (fact == vm_state::leaving || held.vm_fact == vm_state::leaving) {
        held.news = news_copies;
        m_leaving_changed = true;
    }
    held.vm_fact = fact;
    m_changed = true;
    if (fact == vm_state::leaving) {
        m_events.push_back(
            {event_number::vm_leaving, {{"vm", held.vm.value()}, {"target", held.id.value()}}});
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
        const vm_state fact = found == states.end() ? vm_state::unlisted : found->second;
        // A first list makes every VM live; to tell every node would send one datagram per node at once.
        if (fact != it.vm_fact && (fact == vm_state::leaving || it.vm_fact == vm_state::leaving)) {
            changed.push_back(it.id);
        }
        it.vm_seen_at = now;
        set_vm_fact(it, fact);
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
    m_members.front().heard_at = now;
    return m_members.front().record(now);
}

void member_manager::forget_old(time_point now) {
    if (!m_has_plan || !m_has_former) {
        return;
    }
    const auto self = m_members.front().id;
    const auto removed = std::erase_if(m_members, [&](const member& it) {
        return !it.in_plan && it.id != self && now - it.left_at >= forget_after;
    });
    m_has_former =
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
