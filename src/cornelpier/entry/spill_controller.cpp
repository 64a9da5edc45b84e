#include "cornelpier/entry/spill_controller.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace cornelpier {

namespace {

/// Routes of a plan of the largest size; names of dropped routes are forgotten when it is reached.
constexpr std::size_t max_routes = 8192;

constexpr duration log_interval = std::chrono::seconds{1};

std::size_t size_of(const http_fields& fields) {
    std::size_t result = 0;
    for (const auto& [name, value] : fields) {
        result += name.size() + value.size();
    }
    return result;
}

/// @return whether the owner refused the run because its own data centre needs the capacity.
bool is_load_refusal(refusal reason) {
    return reason == refusal::wait_limit || reason == refusal::overloaded || reason == refusal::deadline ||
           reason == refusal::rate_limited;
}

std::string percent_text(double share) {
    constexpr double percent = 100;
    return std::to_string(static_cast<int>(share * percent)) + '%';
}

} // namespace

spill_controller::spill_controller(entry_context& context, const round_trip_table& round_trips)
    : m_context(context), m_round_trips(round_trips), m_policy(context.options.locality) {}

bool spill_controller::is_far(const data_centre_id& data_centre) const {
    if (data_centre == m_context.identity.data_centre) {
        return false;
    }
    const auto fastest = m_round_trips.fastest(data_centre);
    return fastest && m_policy.is_far(*fastest);
}

/// The number of the call decides, so that a call keeps its choice when another target is chosen for it.
bool spill_controller::admits(const call_state& call) {
    random_source draw{call.sequence};
    return m_policy.has_price() && m_policy.may_pay(expected_bytes(call), call.deadline - m_context.now()) &&
           m_services[call.event.service].limiter.admits(draw);
}

bool spill_controller::was_refused_nearby(const call_state& call) const {
    return std::ranges::any_of(call.attempts, [this](const attempt_state& it) {
        return is_load_refusal(it.reason) && !is_far(it.data_centre);
    });
}

duration spill_controller::cost(const call_state& call) const {
    return m_policy.exchange_cost(expected_bytes(call));
}

std::size_t spill_controller::expected_bytes(const call_state& call) const {
    const auto it = m_sizes.find(call.route);
    return it == m_sizes.end() ? exchange_size_meter{}.expected() : it->second.expected();
}

void spill_controller::on_settled(const call_state& call, const attempt_state& attempt,
                                  const attempt_result& result) {
    if (result.response && result.outcome == verdict::ran) {
        if (m_sizes.size() >= max_routes) {
            m_sizes.clear();
        }
        const auto& request = call.event.request;
        m_sizes[call.route].add(size_of(request.fields) + request.body->size() +
                                size_of(result.response->fields) + result.response->body->size());
    }
    if (attempt.spilled && result.end == attempt_end::answered) {
        on_spilled(call, result);
    }
}

void spill_controller::on_spilled(const call_state& call, const attempt_result& result) {
    const service_id& service = call.event.service;
    auto& record = m_services[service];
    if (is_load_refusal(result.reason)) {
        record.limiter.on_refused();
        ++record.refused;
    } else if (result.outcome == verdict::ran) {
        record.limiter.on_accepted();
        ++record.accepted;
        m_context.count(metric::call_spilled, service);
    }
    log_share(service, record);
}

/// Rate limited: under overload, many calls leave in a second.
void spill_controller::log_share(const service_id& service, service_record& record) {
    if (m_context.now() < record.logged_at + log_interval) {
        return;
    }
    m_context.log_event(event_number::calls_spilled, {{"service", service.value()},
                                                      {"share", percent_text(record.limiter.share())},
                                                      {"accepted", std::to_string(record.accepted)},
                                                      {"refused", std::to_string(record.refused)}});
    record.accepted = 0;
    record.refused = 0;
    record.logged_at = m_context.now();
}

} // namespace cornelpier
