#include "bench/core_fleet.hpp"

namespace cornelpier::testing {

namespace {

fleet_settings make_settings(const deployment& config, std::uint64_t seed) {
    fleet_settings result;
    result.seed = seed;
    result.initial_plan = config.current_plan;
    result.default_server = config.server;
    result.network = config.network;
    result.options = config.options;
    return result;
}

} // namespace

core_fleet::core_fleet(const deployment& config, std::uint64_t seed)
    : m_config(config), m_entries(config.entries()), m_fleet(make_settings(config, seed)) {}

fake_server& core_fleet::server(std::size_t target) {
    return m_fleet.server(m_config.targets()[target].id);
}

void core_fleet::call(std::size_t entry) {
    while (!m_fleet.host(m_entries[entry].id).alive()) {
        entry = (entry + 1) % m_entries.size();
    }
    call_request request;
    request.entry = m_entries[entry].id;
    request.service = m_config.service;
    request.path = "/status";
    request.body = "quiet-" + std::to_string(m_calls++);
    request.hidden_from_transcript = true;
    m_fleet.send_call(std::move(request));
}

void core_fleet::crash_vm(std::size_t entry) {
    m_fleet.server(m_entries[entry].id).set_down(true);
    m_fleet.kill(m_entries[entry].id, false);
}

void core_fleet::restore_vm(std::size_t entry) {
    m_fleet.server(m_entries[entry].id).set_down(false);
    m_fleet.restart(m_entries[entry].id);
}

std::vector<call_outcome> core_fleet::outcomes() {
    std::vector<call_outcome> result;
    for (const auto& it : m_fleet.records().calls) {
        if (it.answers.empty()) {
            result.push_back({it.sent, it.deadline, verdict::unknown});
            continue;
        }
        result.push_back({it.sent, it.answers.front().at - it.sent, it.answers.front().outcome});
    }
    return result;
}

fleet_counts core_fleet::counts() {
    fleet_counts result;
    result.retries = m_fleet.metric_total(metric::retry);
    result.hedges = m_fleet.metric_total(metric::hedge);
    result.rechoices = m_fleet.metric_total(metric::rechoice);
    for (const auto& it : m_config.targets()) {
        const auto& all = m_fleet.records().measurements;
        const auto found = all.find(it.id);
        result.measurements.push_back(found == all.end() ? std::vector<time_point>{} : found->second);
    }
    return result;
}

} // namespace cornelpier::testing
