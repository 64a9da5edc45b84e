#include "cornelpier/owner/owner_state.hpp"

#include "cornelpier/admission/slot_wait.hpp"
#include "cornelpier/owner/refusal_name.hpp"

#include <algorithm>
#include <utility>

namespace cornelpier {

namespace {

/// Minimum width of the interval over which retry times are spread.
constexpr duration min_retry_spread = std::chrono::seconds{2};

constexpr double percent = 100;

/// Least part of a rate limit that is expected to remain for a class whose more urgent classes use all of it.
constexpr double min_free_share = 0.05;

/// Part of the mean below which a service time is short. Nested calls take a small part of the time of the
/// run that makes them.
constexpr duration::rep short_run_divisor = 4;

} // namespace

owner_state::owner_state(const node_identity& node, timer_service& timer, random_source generator)
    : identity(node), timers(timer), random(generator), outbox(timer, node.service), permits(node.process),
      placement(node.self, timer.now()), warm_up(timer.now()), started_at(timer.now()) {}

void owner_state::set_view(shared_fleet_view next) {
    view = std::move(next);
    const plan& current_plan = *view->current_plan;
    m_service = current_plan.service_of(identity.self);
    const target_plan* own = current_plan.find_target(identity.self);
    m_is_evacuated = current_plan.is_evacuated(identity.data_centre) ||
                     (own != nullptr && current_plan.is_evacuated(own->data_centre));
}

std::uint32_t owner_state::slots() const {
    const target_plan* own = view->current_plan->find_target(identity.self);
    return own != nullptr && own->slots > 0 ? own->slots : m_service->slots;
}

load_reading owner_state::make_reading() {
    const server_load now_at_server = runs.load(now());
    load_reading result;
    result.target = identity.self;
    result.in_flight = now_at_server.in_flight;
    result.queued = static_cast<std::uint32_t>(queue.size());
    result.limit = effective_limit();
    result.service_time = load.current_service_time(now_at_server);
    result.expected_wait = load.reported_wait(now_at_server, queue.size(), now());
    result.uptime = serving_since ? now() - *serving_since : duration::zero();
    result.state = lifecycle.state();
    result.permit = permits.issue(now());
    result.sequence = ++last_reading_sequence;
    result.slowness_percent = static_cast<std::uint32_t>(slowness.current() * percent);
    if (route_work.mean() > duration::zero()) {
        result.service_time = route_work.mean();
        result.expected_wait = std::max(expected_start_wait(queue.size()), load.failure_penalty(now()));
    }
    result.expected_wait = std::max(result.expected_wait, pacer.wait(queue.size(), now()));
    result.rate_limit = pacer.rate_in_force(now());
    result.server_leaving = server_leaving;
    result.advice_known = advice_known;
    return result;
}

std::uint32_t owner_state::effective_limit() const {
    const bool has_routes = view != nullptr && view->current_plan->routes != nullptr;
    return std::min(load.limit(), has_routes ? contention.best_limit(load.limit(), now() - started_at)
                                             : contention.best_limit(load.limit()));
}

/// By Little's law.
double owner_state::usual_concurrency() const {
    const duration service_time = route_work.mean() > duration::zero()
                                      ? route_work.mean()
                                      : load.current_service_time(runs.load(now()));
    return class_rates.total(now()).per_second * to_seconds(service_time);
}

duration owner_state::expected_start_wait(std::size_t ahead) const {
    const duration slot_wait =
        expected_slot_wait(runs.remaining_service_times(now()), effective_limit(), ahead, route_work.mean());
    return std::max(slot_wait, pacer.wait(ahead, now()));
}

duration owner_state::expected_pace_wait(request_class priority, std::size_t ahead) const {
    const duration wait = pacer.wait(ahead, now());
    const auto limit = pacer.rate_in_force(now());
    if (wait == duration::zero() || !limit || limit->per_second <= 0) {
        return wait;
    }
    const double urgent_share = class_rates.more_urgent(priority, now()).per_second / limit->per_second;
    return std::min(scale(wait, 1 / std::max(1 - urgent_share, min_free_share)), run_pacer::max_wait);
}

duration owner_state::expected_confinement_wait(suspicion level) const {
    if (level != suspicion::suspected) {
        return duration::zero();
    }
    const duration service_time = std::max(route_work.mean(), load.current_service_time(runs.load(now())));
    return static_cast<duration::rep>(runs.suspects()) * service_time;
}

bool owner_state::is_short_service_time(duration expected) const {
    return expected < route_work.mean() / short_run_divisor;
}

duration owner_state::jittered_retry_after() {
    const duration base = load.backlog_time(runs.load(now()), queue.size());
    const double spread = to_seconds(std::max(base, min_retry_spread));
    return base + from_seconds(random.unit() * spread);
}

void owner_state::record_start() {
    pacer.on_start(now());
    warm_up.on_start();
    if (warm_up.is_cold(now()) && !pacer.is_cold(now())) {
        pacer.set_cold_until(time_point::max(), now());
    }
}

void owner_state::send_answer(link_id link, run_response message) {
    if (message.outcome == verdict::not_run) {
        outbox.log(event_number::run_refused, {{"reason", std::string{refusal_name(message.reason)}}});
        outbox.increment(metric::run_refused);
        if (message.reason == refusal::rate_limited) {
            outbox.increment(metric::run_rate_limited);
            if (pacer.is_cold(now())) {
                outbox.increment(metric::run_refused_cold);
            }
        }
        if (message.reason == refusal::quarantined) {
            outbox.increment(metric::run_quarantined);
        }
        if (message.reason == refusal::evacuated) {
            outbox.increment(metric::run_evacuated);
        }
    }
    message.load = make_reading();
    outbox.send(link, std::move(message));
}

} // namespace cornelpier
