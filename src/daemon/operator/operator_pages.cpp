#include "daemon/operator/operator_pages.hpp"

#include "cornelpier/base/hexadecimal.hpp"

#include "daemon/net/clock.hpp"

#include <array>
#include <utility>

namespace cornelpier {

namespace {

const char* state_name(node_state state) {
    constexpr std::array<const char*, 4> names{"starting", "serving", "draining", "stopped"};
    return names.at(static_cast<std::size_t>(state));
}

const char* state_name(vm_state state) {
    constexpr std::array<const char*, 3> names{"unlisted", "live", "leaving"};
    return names.at(static_cast<std::size_t>(state));
}

std::vector<member_view> to_member_views(const std::vector<member_record>& records) {
    std::vector<member_view> members;
    members.reserve(records.size());
    for (const auto& it : records) {
        members.push_back({it.target, state_name(it.state), state_name(it.vm), it.age, it.vm_age});
    }
    return members;
}

} // namespace

operator_pages::operator_pages(operator_sources sources) : m_sources(std::move(sources)) {}

void operator_pages::set_view(shared_fleet_view view) {
    m_view = std::move(view);
}

void operator_pages::respond_to(const std::string& path, operator_server::page_callback respond) const {
    if (path == "/state") {
        take_snapshots([this, respond = std::move(respond)](const metrics_gauges& gauges) {
            respond({200, "application/json", to_json(make_node_report(gauges))});
        });
        return;
    }
    if (path == "/metrics") {
        take_snapshots([this, respond = std::move(respond)](const metrics_gauges& gauges) {
            respond({200, "text/plain; version=0.0.4", m_sources.node_metrics.exposition(gauges)});
        });
        return;
    }
    if (path == "/events") {
        respond({200, "application/x-ndjson", m_sources.recent_events.text()});
        return;
    }
    if (path == "/plan" && m_view != nullptr) {
        respond({200, "application/json", m_view->current_plan->sheet});
        return;
    }
    respond({404, "text/plain; charset=utf-8", "pages: /state /metrics /events /plan\n"});
}

void operator_pages::take_snapshots(snapshot_handler on_taken) const {
    m_sources.snapshot_traffic([this, on_taken = std::move(on_taken)](traffic_snapshot traffic) {
        m_sources.snapshot_control([this, on_taken, traffic](control_snapshot control) {
            const service_plan* service =
                m_view == nullptr ? nullptr : m_view->current_plan->service_of(m_sources.identity.self);
            const double budget = service == nullptr ? 0 : service->measuring.per_second;
            const auto memory = m_sources.budget == nullptr ? byte_budget_usage{} : m_sources.budget->usage();
            on_taken({traffic, std::move(control), budget, m_sources.link_bytes_in_assembly(), memory});
        });
    });
}

node_report operator_pages::make_node_report(const metrics_gauges& gauges) const {
    const time_point now = monotonic_now();

    node_report report;
    report.node = m_sources.identity.self;
    report.vm = m_sources.identity.vm;
    report.data_centre = m_sources.identity.data_centre;
    report.service = m_sources.identity.service;
    report.state = state_name(gauges.traffic.state);
    report.uptime = now - m_sources.start_time;
    report.plan_version = gauges.control.digest.version;
    report.plan_hash = to_hexadecimal(gauges.control.digest.content_hash);
    report.plan_confirmed_age = gauges.control.plan_confirmed_age;
    report.plan_conflict = gauges.control.conflict;
    report.running = gauges.traffic.runs_at_server;
    report.queued = gauges.traffic.runs_queued;
    report.limit = gauges.traffic.concurrency_limit;
    report.rate_limit = gauges.traffic.server_rate_limit;
    report.server_crashes = gauges.traffic.server_crashes;
    report.quarantined_requests = gauges.traffic.quarantined_requests;
    report.service_time = gauges.traffic.service_time;
    report.measurements_per_second = gauges.traffic.measurements_last_second;
    report.measuring_budget = gauges.measuring_budget;
    for (const auto& [service, calls] : m_sources.node_metrics.last_minute(now)) {
        report.calls[service] = {calls.ran, calls.not_run, calls.unknown, calls.p50, calls.p99};
    }
    report.members = to_member_views(gauges.control.members);
    return report;
}

} // namespace cornelpier
