#include "cornelpier/entry/target_selector.hpp"

#include "cornelpier/base/hash.hpp"
#include "cornelpier/execution/key_placement.hpp"
#include "cornelpier/health/slow_start.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace cornelpier {

namespace {

// Added to a target's estimate in proportion to its failure rate: a failed attempt costs a retry, or ends in
// an unknown verdict where a retry is not allowed.
constexpr duration failure_penalty = std::chrono::milliseconds{50};

// Readings up to this age take precedence over gossip, which takes about 1 s to spread.
constexpr duration reading_precedence_time = std::chrono::seconds{1};

// A drain that is reported by a reading takes precedence for longer, but not forever: the drain may have been
// cancelled, and the next request then brings a fresh reading at the cost of one network hop.
constexpr duration drain_precedence_time = std::chrono::seconds{5};

// Until a route has latency samples, its work is estimated as its objective divided by this.
constexpr duration::rep default_work_divisor = 3;

// Traffic between data centres has a price, and an answer well within the objective is worth no more than one
// just within it. A wait in the local data centre is therefore accepted up to the route's slack divided by
// this.
constexpr duration::rep cross_data_centre_divisor = 2;

// Applies even if the objective leaves no slack.
constexpr duration min_cross_data_centre_cost = std::chrono::milliseconds{90};

} // namespace

target_selector::target_selector(entry_context& context, selector_dependencies deps)
    : m_context(context), m_readings(deps.readings), m_leaving_servers(deps.leaving_servers),
      m_round_trips(deps.round_trips), m_health(deps.health), m_links(deps.links), m_spill(deps.spill) {}

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
        if (!it.wait_limit_only) {
            candidates.push_back(it.scored);
        }
    }
    const std::size_t position = service.policy.choose(candidates, m_context.random);
    const auto* target = candidates.at(position).target;
    const auto chosen = std::ranges::find(scored, target, [](const auto& it) { return it.scored.target; });

    auto result = make_selection(service, chosen->index);
    result.spilled = chosen->spilled;
    if (m_context.options.conditional_admission) {
        result.wait_limit = wait_limit(scored, *chosen);
    }
    return result;
}

std::optional<selection> target_selector::select_confined(const call_state& call,
                                                          const service_plan& service) {
    const std::string hash_input = to_string(fingerprint_of(call.event.service, call.event.request));
    const target_plan* best = nullptr;
    std::pair<bool, std::uint64_t> best_rank;
    for (const auto& it : service.targets) {
        const bool is_evacuated = m_context.view->current_plan->is_evacuated(it.data_centre);
        if (is_evacuated || is_tried(call, it.id) || is_leaving(it.id)) {
            continue;
        }
        const bool is_backing_off = m_links.is_backing_off(it.id);
        if (is_backing_off) {
            m_links.open(it.id, it.node_address);
        }
        // Unhealthy targets are the last resort, as for other requests.
        const bool is_healthy = m_health.at(it.id, m_context.now()).state() == health_state::healthy;
        const std::pair rank{is_healthy && !is_backing_off, rendezvous_score(hash_input, it.id.value())};
        if (best == nullptr || rank > best_rank) {
            best = &it;
            best_rank = rank;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return selection{best->id, best->data_centre, best->node_address, std::nullopt, false, true};
}

bool target_selector::is_tried(const call_state& call, const target_id& target) {
    return std::ranges::count(call.excluded_targets, target) != 0 ||
           std::ranges::any_of(call.attempts, [&](const attempt_state& it) {
               return it.target == target && it.may_have_run();
           });
}

std::optional<selection> target_selector::select_home(const service_plan& service,
                                                      const std::string& key) const {
    const auto& current_plan = *m_context.view->current_plan;
    const std::string hash_input = key_placement::scoped_key(service.id, key);
    const target_plan* home = nullptr;
    std::uint64_t best_score = 0;
    for (const auto& it : service.targets) {
        const std::uint64_t score = rendezvous_score(hash_input, it.id.value());
        if (!current_plan.is_evacuated(it.data_centre) && (home == nullptr || score > best_score)) {
            home = &it;
            best_score = score;
        }
    }
    if (home == nullptr) {
        return std::nullopt;
    }
    return selection{home->id, home->data_centre, home->node_address, std::nullopt, false};
}

/// A trial request may end with an unknown verdict, so orders are not used for trials if the service has
/// lookups.
std::optional<selection> target_selector::select_trial(const call_state& call, const service_state& service) {
    if (!call.idempotent && service.has_lookups) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < service.subset.size(); ++i) {
        const auto& target = service.subset[i];
        const bool wanted = m_health.at(target, m_context.now()).needs_trial();
        if (!wanted || is_leaving(target) || std::ranges::count(call.excluded_targets, target) != 0) {
            continue;
        }
        // A caller must not wait for a connection to a target that may be down.
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

/// @return the members of the first tier that is not empty. Regular targets are accompanied by those of the
/// next tiers that count only for the wait limit.
std::vector<target_selector::subset_member>
target_selector::usable_members(const call_state& call, const service_state& service, bool hedge) {
    selection_tier best = selection_tier::excluded;
    std::vector<subset_member> result;
    const double max_share = max_slow_start_share(service);
    const bool may_spill = !hedge && m_spill.admits(call);
    const bool was_refused_nearby = m_spill.was_refused_nearby(call);
    for (std::size_t i = 0; i < service.subset.size(); ++i) {
        // A target without a link is not chosen while there are others, so its link has to be reopened here.
        if (m_links.is_backing_off(service.subset[i])) {
            m_links.open(service.subset[i], service.addresses[i]);
        }
        // A hedge would use up a request of the server's limit that another call needs.
        const bool is_wasteful = hedge && is_rate_limited(service.subset[i]);
        selection_tier tier =
            is_wasteful ? selection_tier::excluded : tier_of(call, service.subset[i], max_share);
        const bool is_far = m_spill.is_far(service.data_centres[i]);
        if (is_far && !may_spill) {
            tier = std::max(tier, was_refused_nearby ? selection_tier::excluded : selection_tier::distant);
        }
        best = std::min(best, tier);
        result.push_back({i, tier, false, is_far && may_spill});
    }
    if (best == selection_tier::leaving && !m_context.options.allow_leaving_targets) {
        best = selection_tier::excluded;
    }
    if (best == selection_tier::excluded || (hedge && best > selection_tier::cold)) {
        return {};
    }
    // With routes, targets that refused this call for their wait are alternatives to the last one asked.
    const selection_tier last_reference_tier =
        call.route.empty() ? selection_tier::cold : selection_tier::tried;
    const selection_tier last_tier = best == selection_tier::regular ? last_reference_tier : best;
    std::erase_if(result, [last_tier](const subset_member& it) { return it.tier > last_tier; });
    for (auto& it : result) {
        it.wait_limit_only = it.tier != best;
    }
    return result;
}

target_selector::selection_tier target_selector::tier_of(const call_state& call, const target_id& target,
                                                         double max_share) {
    if (std::ranges::count(call.excluded_targets, target) != 0) {
        return selection_tier::excluded;
    }
    if (is_leaving(target)) {
        return selection_tier::leaving;
    }
    const auto& health = m_health.at(target, m_context.now());
    if (health.state() != health_state::healthy || m_links.is_backing_off(target)) {
        return selection_tier::unhealthy;
    }
    const bool tried = std::ranges::any_of(call.attempts, [&](const attempt_state& it) {
        const bool has_refused_for_wait = it.reason == refusal::wait_limit;
        const bool asked = has_refused_for_wait && (it.spilled || (!call.route.empty() && it.wait_limit));
        return it.target == target && (it.may_have_run() || asked);
    });
    if (tried) {
        return selection_tier::tried;
    }
    return skips_in_slow_start(target, max_share) ? selection_tier::cold : selection_tier::regular;
}

bool target_selector::is_leaving(const target_id& target) const {
    const auto& view = *m_context.view;
    const auto vm = view.vm_states.find(target);
    if (vm != view.vm_states.end() && vm->second == vm_state::leaving) {
        return true;
    }
    if (m_leaving_servers.contains(target, m_context.now())) {
        return true;
    }
    const auto* load = m_readings.find(target);
    if (load != nullptr && load->last) {
        const bool is_not_serving = load->last->state != node_state::serving;
        const duration age = m_context.now() - load->received_at;
        if (age < (is_not_serving ? drain_precedence_time : reading_precedence_time)) {
            return is_not_serving;
        }
    }
    const auto node = view.node_states.find(target);
    return node != view.node_states.end() && node->second != node_state::serving;
}

bool target_selector::is_rate_limited(const target_id& target) const {
    const auto* load = m_readings.find(target);
    return load != nullptr && load->rate_limit;
}

/// Draws at random whether a target in slow start is skipped this time. Its share is relative to the largest
/// one, so that no target is skipped when the whole fleet starts at once.
bool target_selector::skips_in_slow_start(const target_id& target, double max_share) {
    const double traffic_share = slow_start_share_of(target) / max_share;
    return traffic_share < 1 && m_context.random.unit() >= traffic_share;
}

double target_selector::max_slow_start_share(const service_state& service) {
    double result = 0;
    for (const auto& it : service.subset) {
        result = std::max(result, slow_start_share_of(it));
    }
    return result;
}

double target_selector::slow_start_share_of(const target_id& target) {
    double traffic_share = 1;
    if (!m_context.options.slow_start) {
        return traffic_share;
    }
    const time_point now = m_context.now();
    if (const auto* load = m_readings.find(target); load != nullptr && load->last) {
        traffic_share = slow_start_share(load->last->uptime + (now - load->received_at));
    }
    if (const auto recovered = m_health.at(target, now).recovered_at()) {
        traffic_share = std::min(traffic_share, slow_start_share(now - *recovered));
    }
    return traffic_share;
}

std::vector<target_selector::scored_candidate>
target_selector::score(const call_state& call, service_state& service,
                       const std::vector<subset_member>& members) {
    const time_point now = m_context.now();
    std::vector<const target_load*> loads(service.subset.size());
    std::ranges::transform(service.subset, loads.begin(),
                           [this](const target_id& it) { return m_readings.find(it); });
    const load_estimate average = average_load(loads);

    const bool routed = !call.route.empty();
    const duration work =
        routed ? service.hedge_policy_of(call.route).median().value_or(call.objective / default_work_divisor)
               : duration::zero();

    std::vector<scored_candidate> result;
    result.reserve(members.size());
    for (const auto& member : members) {
        const std::size_t i = member.index;
        const auto& target = service.subset[i];
        const auto* load = loads[i];
        const duration round_trip = m_round_trips.round_trip(target, service.data_centres[i]);
        const load_estimate estimate = estimate_load(load, average, round_trip, now);
        const duration penalty = scale(failure_penalty, m_health.at(target, now).failure_rate(now));

        scored_candidate it{i, {&target}, estimate.service + penalty, member.wait_limit_only, member.spilled};
        it.scored.wait = estimate.wait;
        const duration far_cost =
            m_spill.is_far(service.data_centres[i]) ? m_spill.cost(call) : duration::zero();
        it.fixed_cost += far_cost;
        it.scored.estimate = estimate.wait + it.fixed_cost + round_trip;
        if (routed) {
            const duration travel_cost =
                round_trip +
                std::max(far_cost, cross_data_centre_cost(call.objective - work, service.data_centres[i]));
            it.scored.wait += expected_slowdown_delay(load, work, now) + penalty;
            it.scored.estimate = it.scored.wait + travel_cost;
            it.fixed_cost = travel_cost;
        }
        if (load != nullptr) {
            it.scored.own_in_flight = static_cast<std::uint32_t>(load->own_runs.size());
            it.scored.reported_load = load->last ? load->last->in_flight + load->last->queued : 0;
        }
        result.push_back(it);
    }
    return result;
}

duration target_selector::cross_data_centre_cost(duration slack, const data_centre_id& data_centre) const {
    if (data_centre == m_context.identity.data_centre) {
        return duration::zero();
    }
    return std::max(min_cross_data_centre_cost, slack / cross_data_centre_divisor);
}

/// The second-best target is better if the wait at the chosen one plus `fixed_cost` exceeds the whole
/// estimate of the second. The round trip to the chosen target is not subtracted without routes: a refusal
/// costs it as well.
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
    return std::max(*second - chosen.fixed_cost, duration::zero());
}

selection target_selector::make_selection(const service_state& service, std::size_t index) {
    return {service.subset.at(index), service.data_centres.at(index), service.addresses.at(index),
            std::nullopt, false};
}

} // namespace cornelpier
