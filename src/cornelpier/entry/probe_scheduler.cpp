#include "cornelpier/entry/probe_scheduler.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cornelpier {

namespace {

constexpr duration activity_window = std::chrono::seconds{1};
constexpr duration min_period = std::chrono::milliseconds{10};
constexpr duration max_period = std::chrono::seconds{10};

} // namespace

probe_scheduler::probe_scheduler(entry_context& context, service_table& services,
                                 const reading_table& readings, link_set& links)
    : m_context(context), m_services(services), m_readings(readings), m_links(links) {}

void probe_scheduler::on_call(const service_plan& service, service_state& state) {
    state.last_call_at = m_context.now();
    if (!m_context.options.probes || state.probe_timer != 0) {
        return;
    }
    const duration period = period_of(service);
    if (period > duration::zero()) {
        schedule(service.id, state, period);
    }
}

duration probe_scheduler::probe_period(const service_plan& service, std::size_t entries,
                                       std::size_t evacuated) {
    const double budget = service.measuring.per_second * service.tail_weight;
    const std::size_t usable = service.targets.size() - evacuated;
    if (budget <= 0 || usable == 0) {
        return duration::zero();
    }
    const auto used = static_cast<double>(std::min(max_subset_size, usable));
    const double users = static_cast<double>(entries) * used / static_cast<double>(usable);
    const double seconds = std::max(users, 1.0) / budget;
    return std::max(min_period, from_seconds(std::min(seconds, to_seconds(max_period))));
}

duration probe_scheduler::period_of(const service_plan& service) const {
    const auto& current_plan = *m_context.view->current_plan;
    std::size_t entries = 0;
    for (const auto& it : current_plan.services) {
        entries += it.targets.size();
    }
    const auto evacuated = std::ranges::count_if(
        service.targets, [&](const target_plan& it) { return current_plan.is_evacuated(it.data_centre); });
    return probe_period(service, entries, static_cast<std::size_t>(evacuated));
}

void probe_scheduler::schedule(const service_id& service, service_state& state, duration period) {
    const double jitter = 0.5 + m_context.random.unit();
    state.probe_timer = m_context.timers.call_after(from_seconds(to_seconds(period) * jitter),
                                                    [this, service] { on_due(service); });
}

void probe_scheduler::on_due(const service_id& service) {
    auto* state = m_services.find(service);
    state->probe_timer = 0;
    const auto* planned = m_context.find_service(service);
    if (planned == nullptr || m_context.now() - state->last_call_at > activity_window) {
        return;
    }
    const duration period = period_of(*planned);
    if (period > duration::zero()) {
        // The plan may have changed since the last call.
        probe_subset(m_services.at(*planned), period);
        schedule(service, *state, period);
    }
}

/// Targets with a recent reading, from an answer or a refusal, are not probed.
void probe_scheduler::probe_subset(const service_state& state, duration period) {
    for (std::size_t i = 0; i < state.subset.size(); ++i) {
        const auto& target = state.subset[i];
        const auto* load = m_readings.find(target);
        if (load != nullptr && load->last && m_context.now() - load->received_at < period) {
            continue;
        }
        if (m_links.is_ready(target)) {
            m_links.send(target, probe{});
        } else if (!m_links.is_backing_off(target)) {
            m_links.open(target, state.addresses[i]);
        }
    }
}

} // namespace cornelpier
