#include "cornelpier/entry/target_selector.hpp"

#include "cornelpier/base/hash.hpp"
#include "cornelpier/execution/key_placement.hpp"
#include "cornelpier/health/slow_start.hpp"

#include <algorithm>
#include <chrono>

namespace cornelpier {

namespace {

// A failed attempt costs a retry, or an unknown verdict where no retry is allowed.
constexpr duration cost_of_failure = std::chrono::milliseconds{50};

// Gossip takes about a second to spread; a reading of that age is no fresher.
constexpr duration reading_outranks_gossip = std::chrono::seconds{1};

// After a drain was called off, the next request brings a fresh reading for the price of a hop.
constexpr duration drain_outranks_gossip = std::chrono::seconds{5};

// Without answers of a route yet, its work is taken for this part of its objective.
constexpr duration::rep guessed_work_divisor = 3;

// Bytes between data centres have a price, and an answer within the objective is worth no more for being
// faster, so that a wait in the own data centre is accepted: up to this part of the time that the objective
// leaves beside the work. Measured with a third and a half, and with a fixed 90 ms before.
constexpr duration::rep crossing_divisor = 2;

// Also where the objective leaves nothing.
constexpr duration least_cost_of_crossing = std::chrono::milliseconds{90};

} // namespace

target_selector::target_selector(entry_context& context, reading_table& readings, distance_table& distances,
                                 health_table& health, link_set& links)
    : m_context(context), m_readings(readings), m_distances(distances), m_health(health), m_links(links) {}

std::optional<selection> target_selector::select(const call_state& call, service_state& service, bool hedge) {
    if (!hedge) {
        if (auto trial = select_trial(call, service)) {
            return trial;
        }
    }
    const auto members = usable_members(call, service, hedge);
    if (members.empty()) {
        return std::nullopt;
    }

    const auto scored = score(call, service, members);
    std::vector<candidate> candidates;
    for (const auto& it : scored) {
        if (!it.passed_over) {
            candidates.push_back(it.scored);
        }
    }
    const std::size_t position = service.policy.choose(candidates, m_context.random);
    const auto* target = candidates.at(position).target;
    const auto chosen = std::ranges::find(scored, target, [](const auto& it) { return it.scored.target; });

    auto result = make_selection(service, chosen->index);
    if (m_context.options.conditional_admission) {
        result.wait_limit = wait_limit(scored, *chosen);
    }
    return result;
}

std::optional<selection> target_selector::select_home(const service_plan& service, const std::string& key) {
    if (service.targets.empty()) {
        return std::nullopt;
    }
    const std::string placed = key_placement::scoped_key(service.id, key);
    const auto home = std::ranges::max_element(
        service.targets, {}, [&](const target_plan& it) { return rendezvous_score(placed, it.id.value()); });
    return selection{home->id, home->data_centre, home->node_address, std::nullopt, false};
}

/// A trial request of a failing target may end without a proof, so orders are not used for it.
std::optional<selection> target_selector::select_trial(const call_state& call, const service_state& service) {
    if (!call.idempotent && service.has_lookups) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < service.subset.size(); ++i) {
        const auto& target = service.subset[i];
        const bool wanted = m_health.at(target, m_context.now()).wants_trial();
        if (!wanted || is_leaving(target) || std::ranges::count(call.avoided, target) != 0) {
            continue;
        }
        // No caller waits for a connection to a target that may be dead.
        if (!m_links.is_ready(target)) {
            m_links.open(target, service.addresses[i]);
            continue;
        }
        auto result = make_selection(service, i);
        result.trial = true;
        return result;
    }
    return std::nullopt;
}

/// @return the members of the first group that is not empty. Regular targets come with the cold ones, which
/// are not chosen, but count for the wait limit.
std::vector<target_selector::member>
target_selector::usable_members(const call_state& call, const service_state& service, bool hedge) {
    group best = group::excluded;
    std::vector<member> result;
    const double warmest = warmest_share(service);
    for (std::size_t i = 0; i < service.subset.size(); ++i) {
        // A target without a link is not chosen while others are left, so that no call would open the next
        // one.
        if (m_links.is_backing_off(service.subset[i])) {
            m_links.open(service.subset[i], service.addresses[i]);
        }
        const group current = group_of(call, service.subset[i], warmest);
        best = std::min(best, current);
        result.push_back({i, current});
    }
    if (best == group::leaving && !m_context.options.use_leaving) {
        best = group::excluded;
    }
    if (best == group::excluded || (hedge && best > group::cold)) {
        return {};
    }
    // Targets that refused this call for their wait are what the last one to be asked competes with.
    const group competing = call.route.empty() ? group::cold : group::tried;
    const group last = best == group::regular ? competing : best;
    std::erase_if(result, [last](const member& it) { return it.current > last; });
    for (auto& it : result) {
        it.passed_over = it.current != best;
    }
    return result;
}

target_selector::group target_selector::group_of(const call_state& call, const target_id& target,
                                                 double warmest) {
    if (std::ranges::count(call.avoided, target) != 0) {
        return group::excluded;
    }
    if (is_leaving(target)) {
        return group::leaving;
    }
    const auto& health = m_health.at(target, m_context.now());
    if (health.state() != health_state::healthy || m_links.is_backing_off(target)) {
        return group::unhealthy;
    }
    const bool tried = std::ranges::any_of(call.attempts, [&](const attempt_state& it) {
        const bool asked = !call.route.empty() && it.wait_limit && it.reason == refusal::wait_limit;
        return it.target == target && (it.may_run() || asked);
    });
    if (tried) {
        return group::tried;
    }
    return is_cold(target, warmest) ? group::cold : group::regular;
}

bool target_selector::is_leaving(const target_id& target) const {
    const auto& view = *m_context.view;
    const auto vm = view.vm_states.find(target);
    if (vm != view.vm_states.end() && vm->second == vm_state::leaving) {
        return true;
    }
    const auto* load = m_readings.find(target);
    if (load != nullptr && load->last) {
        const bool is_out = load->last->state != node_state::serving;
        const duration age = m_context.now() - load->received_at;
        if (age < (is_out ? drain_outranks_gossip : reading_outranks_gossip)) {
            return is_out;
        }
    }
    const auto node = view.node_states.find(target);
    return node != view.node_states.end() && node->second != node_state::serving;
}

/// Draws whether a target in slow start is passed over this time. What counts is its share compared with the
/// warmest target, so that the targets of a fleet that starts as a whole are all chosen.
bool target_selector::is_cold(const target_id& target, double warmest) {
    const double share = warm_share(target) / warmest;
    return share < 1 && m_context.random.unit() >= share;
}

double target_selector::warmest_share(const service_state& service) {
    double result = 0;
    for (const auto& it : service.subset) {
        result = std::max(result, warm_share(it));
    }
    return result;
}

double target_selector::warm_share(const target_id& target) {
    double share = 1;
    if (!m_context.options.slow_start) {
        return share;
    }
    const time_point now = m_context.now();
    if (const auto* load = m_readings.find(target); load != nullptr && load->last) {
        share = slow_start_share(load->last->uptime + (now - load->received_at));
    }
    if (const auto recovered = m_health.at(target, now).recovered_at()) {
        share = std::min(share, slow_start_share(now - *recovered));
    }
    return share;
}

std::vector<target_selector::scored_candidate>
target_selector::score(const call_state& call, service_state& service, const std::vector<member>& members) {
    const time_point now = m_context.now();
    std::vector<const target_load*> loads(service.subset.size());
    std::ranges::transform(service.subset, loads.begin(),
                           [this](const target_id& it) { return m_readings.find(it); });
    const load_estimate average = average_load(loads);

    const bool routed = !call.route.empty();
    const duration work =
        routed ? service.hedges_of(call.route).median().value_or(call.objective / guessed_work_divisor)
               : duration::zero();

    std::vector<scored_candidate> result;
    result.reserve(members.size());
    for (const auto& entry : members) {
        const std::size_t i = entry.index;
        const auto& target = service.subset[i];
        const auto* load = loads[i];
        const duration distance = m_distances.distance(target, service.data_centres[i]);
        const load_estimate estimate = estimate_load(load, average, distance, now);
        const duration penalty = scale(cost_of_failure, m_health.at(target, now).failure_rate(now));

        scored_candidate it{i, {&target}, estimate.service + penalty, entry.passed_over};
        it.scored.wait = estimate.wait;
        it.scored.estimate = estimate.wait + estimate.service + distance + penalty;
        if (routed) {
            const duration travel = distance + crossing_cost(call.objective - work, service.data_centres[i]);
            it.scored.wait += expected_loss(load, work, now) + penalty;
            it.scored.estimate = it.scored.wait + travel;
            it.hurdle = travel;
        }
        if (load != nullptr) {
            it.scored.own_in_flight = static_cast<std::uint32_t>(load->own_runs.size());
            it.scored.reported_load = load->last ? load->last->in_flight + load->last->queued : 0;
        }
        result.push_back(it);
    }
    return result;
}

duration target_selector::crossing_cost(duration spare, const data_centre_id& data_centre) const {
    if (data_centre == m_context.identity.data_centre) {
        return duration::zero();
    }
    return std::max(least_cost_of_crossing, spare / crossing_divisor);
}

/// The second-best target is better if wait and service here take longer than everything there; the
/// distance of the chosen target is spent in both cases, as the way of the refusal.
std::optional<duration> target_selector::wait_limit(const std::vector<scored_candidate>& candidates,
                                                    const scored_candidate& chosen) {
    std::optional<duration> second;
    for (const auto& it : candidates) {
        if (it.index != chosen.index) {
            second = std::min(second.value_or(duration::max()), it.scored.estimate);
        }
    }
    if (!second) {
        return std::nullopt;
    }
    return std::max(*second - chosen.hurdle, duration::zero());
}

selection target_selector::make_selection(const service_state& service, std::size_t index) {
    return {service.subset.at(index), service.data_centres.at(index), service.addresses.at(index),
            std::nullopt, false};
}

} // namespace cornelpier
