#include "daemon/report/report_json.hpp"

#include <nlohmann/json.hpp>

namespace cornelpier {

namespace {

using nlohmann::json;

json to_item(const group_totals& totals) {
    return {{"nodes", totals.nodes},
            {"answered", totals.answered},
            {"serving", totals.serving},
            {"running", totals.running},
            {"queued", totals.queued}};
}

json to_item_with_calls(const group_totals& totals) {
    json item = to_item(totals);
    item["last_minute"] = {{"ran", totals.calls.ran},
                           {"not_run", totals.calls.not_run},
                           {"unknown", totals.calls.unknown},
                           {"worst_entry_p50_us", totals.calls.p50.count()},
                           {"worst_entry_p99_us", totals.calls.p99.count()}};
    return item;
}

const char* source_name(fact_source source) {
    switch (source) {
    case fact_source::direct:
        return "direct";
    case fact_source::indirect:
        return "indirect";
    case fact_source::none:
        break;
    }
    return "none";
}

json to_item(const node_status& status) {
    json item{{"node", status.node.value()},
              {"service", status.service.value()},
              {"data_centre", status.data_centre.value()},
              {"source", source_name(status.source)},
              {"state", status.state},
              {"vm_state", status.vm_state}};
    if (status.source == fact_source::none) {
        return item;
    }
    item["age_us"] = status.age.count();
    item["stale"] = status.stale;
    if (status.source == fact_source::indirect) {
        item["reported_by"] = status.reported_by.value();
    }
    return item;
}

template <typename Id>
json to_items(const std::map<Id, group_totals>& groups, json (*convert)(const group_totals&)) {
    json items = json::object();
    for (const auto& [id, totals] : groups) {
        items[id.value()] = convert(totals);
    }
    return items;
}

} // namespace

std::string to_json(const fleet_report& report) {
    json nodes = json::array();
    for (const auto& it : report.nodes) {
        nodes.push_back(to_item(it));
    }

    json plan{{"version", report.plan_version},
              {"nodes_with_plan", report.nodes_with_plan},
              {"conflict", report.plan_conflict}};
    if (report.fleet.answered > 0) {
        plan["confirmed_age_us"] = report.plan_confirmed_age.count();
    }

    const json item{{"taken_at", report.taken_at},
                    {"plan", plan},
                    {"fleet", to_item_with_calls(report.fleet)},
                    {"services", to_items(report.services, to_item_with_calls)},
                    {"data_centres", to_items(report.data_centres, to_item)},
                    {"nodes", nodes}};
    return item.dump(1) + '\n';
}

} // namespace cornelpier
