#include "bench/baseline_fleet.hpp"

#include <algorithm>
#include <limits>

namespace cornelpier::testing {

namespace {

/// Connections that a server accepts per slot: 200 for a server with 10 slots.
constexpr std::size_t connections_per_slot = 20;
constexpr double worst_score = std::numeric_limits<double>::max();

} // namespace

baseline_fleet::baseline_fleet(const deployment& config, balancing_policy selected_policy, std::uint64_t seed)
    : m_config(config), m_policy(selected_policy), m_random(seed), m_entries(config.entries()) {
    const auto targets = config.targets().size();
    for (std::size_t n = 0; n < targets; ++n) {
        m_servers.push_back(std::make_unique<fake_server>(m_queue, config.server, m_random.split(),
                                                          [](const http_request&) {}));
    }
    m_down.resize(m_entries.size());
    m_in_flight.assign(m_entries.size(), std::vector<std::size_t>(targets));
    m_requests_in_transit.resize(targets);
    for (std::size_t n = 0; n < m_entries.size(); ++n) {
        m_next_target.push_back(m_random.below(targets));
    }
}

duration baseline_fleet::one_way_latency(std::size_t entry, std::size_t target) const {
    return m_entries[entry].data_centre == m_config.targets()[target].data_centre
               ? m_config.network.within_data_centre
               : m_config.network.between_data_centres;
}

void baseline_fleet::call(std::size_t entry) {
    while (m_down[entry]) {
        entry = (entry + 1) % m_entries.size();
    }
    const auto call = m_outcomes.size();
    const auto deadline = m_config.current_plan->find_service(m_config.service)->deadline;
    m_outcomes.push_back({m_queue.now(), deadline, verdict::unknown});
    m_ended.push_back(false);
    m_queue.call_after(m_config.network.caller_to_entry, [this, call, entry, deadline] {
        const auto target = choose(entry);
        ++m_in_flight[entry][target];
        ++m_requests_in_transit[target];
        m_queue.call_after(one_way_latency(entry, target),
                           [this, call, entry, target] { deliver(call, entry, target); });
        m_queue.call_after(deadline, [this, call, entry, target] {
            if (!m_ended[call]) {
                --m_in_flight[entry][target];
                time_out(call, target);
            }
        });
    });
}

void baseline_fleet::time_out(std::size_t call, std::size_t target) {
    m_ended[call] = true;
    m_servers[target]->cancel(run_id{call});
}

void baseline_fleet::deliver(std::size_t call, std::size_t entry, std::size_t target) {
    --m_requests_in_transit[target];
    auto& server = *m_servers[target];
    // A crashed VM sends no response, so the call fails at its deadline.
    if (m_down[target]) {
        return;
    }
    if (server.load() >= connections_per_slot * m_config.server.slots) {
        finish_call(call, entry, target, server_failure::connect_failed);
        return;
    }
    server.start(
        run_id{call}, {"GET", "/status", {}, make_body()},
        [this, call, entry, target](const auto& outcome) { finish_call(call, entry, target, outcome); });
}

void baseline_fleet::finish_call(std::size_t call, std::size_t entry, std::size_t target,
                                 const fake_server::outcome& outcome) {
    const auto return_latency = one_way_latency(entry, target);
    auto result = verdict::unknown;
    if (const auto* response = std::get_if<http_response>(&outcome)) {
        result = response->status < 500 ? verdict::ran : verdict::unknown;
    } else if (std::get<server_failure>(outcome) == server_failure::connect_failed) {
        result = verdict::not_run;
    }

    m_queue.call_after(return_latency, [this, call, entry, target, result] {
        if (m_ended[call]) {
            return;
        }
        m_ended[call] = true;
        --m_in_flight[entry][target];
        auto& it = m_outcomes[call];
        it.outcome = result;
        it.latency = m_queue.now() + m_config.network.caller_to_entry - it.sent;
    });
}

std::size_t baseline_fleet::choose(std::size_t entry) {
    switch (m_policy) {
    case balancing_policy::random:
        return m_random.below(m_servers.size());
    case balancing_policy::round_robin:
        return m_next_target[entry]++ % m_servers.size();
    case balancing_policy::least_reported_load:
    case balancing_policy::perfect:
        return pick_lowest_score(scores(entry));
    case balancing_policy::two_choices_reported:
    case balancing_policy::two_choices_in_flight:
        break;
    }
    return pick_best_of_two(scores(entry));
}

std::vector<double> baseline_fleet::scores(std::size_t entry) const {
    std::vector<double> result;
    for (std::size_t n = 0; n < m_servers.size(); ++n) {
        if (m_policy == balancing_policy::perfect) {
            result.push_back(perfect_score(entry, n));
        } else if (m_policy == balancing_policy::two_choices_in_flight) {
            result.push_back(static_cast<double>(m_in_flight[entry][n]));
        } else {
            const auto report = m_servers[n]->report();
            result.push_back(report ? report->in_flight : worst_score);
        }
    }
    return result;
}

/// @return the expected time in seconds until the response arrives at the entry.
double baseline_fleet::perfect_score(std::size_t entry, std::size_t target) const {
    const auto& server = *m_servers[target];
    if (!server.is_healthy()) {
        return worst_score;
    }
    const auto slots = static_cast<double>(m_config.server.slots);
    const auto requests_ahead = static_cast<double>(server.load() + m_requests_in_transit[target]);
    const auto queue_rounds = std::max(0.0, requests_ahead + 1 - slots) / slots;
    return server.slowdown() * to_seconds(m_config.server.mean_service_time) * (1 + queue_rounds) +
           2 * to_seconds(one_way_latency(entry, target));
}

std::size_t baseline_fleet::pick_best_of_two(const std::vector<double>& score) {
    const auto first = m_random.below(score.size());
    auto second = m_random.below(score.size() - 1);
    second += second >= first ? 1 : 0;
    return score[second] < score[first] ? second : first;
}

std::size_t baseline_fleet::pick_lowest_score(const std::vector<double>& score) {
    const auto best = *std::ranges::min_element(score);
    std::vector<std::size_t> equal;
    for (std::size_t n = 0; n < score.size(); ++n) {
        if (score[n] <= best) {
            equal.push_back(n);
        }
    }
    return equal[m_random.below(equal.size())];
}

void baseline_fleet::crash_vm(std::size_t entry) {
    m_down[entry] = true;
    if (entry < m_servers.size()) {
        // A crashed VM does not close its connections, so their calls end at the deadline.
        m_servers[entry]->cancel_all();
        m_servers[entry]->set_down(true);
    }
}

void baseline_fleet::restore_vm(std::size_t entry) {
    m_down[entry] = false;
    if (entry < m_servers.size()) {
        m_servers[entry]->set_down(false);
    }
}

fleet_counts baseline_fleet::counts() {
    fleet_counts result;
    result.measurements.resize(m_servers.size());
    return result;
}

} // namespace cornelpier::testing
