#include "cornelpier/routing/reading_table.hpp"

#include <algorithm>
#include <chrono>

namespace cornelpier {

namespace {

// Owners grant permits for 5 s; the margin covers the transit of the run to the owner.
constexpr duration usable_permit_age = std::chrono::milliseconds{4500};

} // namespace

std::uint32_t target_load::own_runs_since(time_point since) const {
    return static_cast<std::uint32_t>(
        std::ranges::count_if(own_runs, [since](time_point sent_at) { return sent_at > since; }));
}

bool reading_table::accept(const load_reading& load, time_point now) {
    auto& stored = m_targets[load.target];
    const bool same_process = stored.last && stored.last->permit.owner == load.permit.owner;
    if (same_process && stored.last->sequence > load.sequence) {
        return false;
    }

    stored.last = load;
    stored.received_at = now;
    stored.permit = load.permit;
    stored.permit_received_at = now;
    if (load.advice_known) {
        stored.rate_limit = load.rate_limit;
    }
    return true;
}

void reading_table::accept_permit(const target_id& target, const run_permit& permit, time_point now) {
    auto& stored = m_targets[target];
    stored.permit = permit;
    stored.permit_received_at = now;
}

std::optional<run_permit> reading_table::usable_permit(const target_id& target, time_point now) const {
    const auto* stored = find(target);
    if (stored == nullptr || now - stored->permit_received_at > usable_permit_age) {
        return std::nullopt;
    }
    return stored->permit;
}

void reading_table::drop_permit(const target_id& target) {
    m_targets[target].permit.reset();
}

void reading_table::run_sent(const target_id& target, time_point sent_at) {
    m_targets[target].own_runs.push_back(sent_at);
}

void reading_table::run_ended(const target_id& target, time_point sent_at) {
    auto& runs = m_targets[target].own_runs;
    const auto it = std::ranges::find(runs, sent_at);
    if (it == runs.end()) {
        return;
    }
    *it = runs.back();
    runs.pop_back();
}

void reading_table::drop_readings() {
    for (auto& [target, stored] : m_targets) {
        stored.last.reset();
        stored.permit.reset();
    }
}

const target_load* reading_table::find(const target_id& target) const {
    const auto it = m_targets.find(target);
    return it == m_targets.end() ? nullptr : &it->second;
}

} // namespace cornelpier
