#include "daemon/report/node_report.hpp"

#include <nlohmann/json.hpp>

namespace cornelpier {

namespace {

using nlohmann::json;

duration microseconds(const json& item, const char* key) {
    return duration{item.at(key).get<std::int64_t>()};
}

json to_item(const member_view& member) {
    return {{"target", member.target.value()},
            {"state", member.state},
            {"vm_state", member.vm_state},
            {"age_us", member.age.count()},
            {"vm_age_us", member.vm_age.count()}};
}

member_view parse_member(const json& item) {
    return {target_id{item.at("target").get<std::string>()}, item.at("state").get<std::string>(),
            item.at("vm_state").get<std::string>(), microseconds(item, "age_us"),
            microseconds(item, "vm_age_us")};
}

json to_item(const call_counts& calls) {
    return {{"ran", calls.ran},
            {"not_run", calls.not_run},
            {"unknown", calls.unknown},
            {"p50_us", calls.p50.count()},
            {"p99_us", calls.p99.count()}};
}

call_counts parse_calls(const json& item) {
    return {item.at("ran").get<std::uint64_t>(), item.at("not_run").get<std::uint64_t>(),
            item.at("unknown").get<std::uint64_t>(), microseconds(item, "p50_us"),
            microseconds(item, "p99_us")};
}

void parse_plan(const json& item, node_report& report) {
    report.plan_version = item.at("version").get<std::uint64_t>();
    report.plan_hash = item.at("hash").get<std::string>();
    report.plan_confirmed_age = microseconds(item, "confirmed_age_us");
    report.plan_conflict = item.at("conflict").get<bool>();
}

void parse_load(const json& item, node_report& report) {
    report.running = item.at("running").get<std::uint64_t>();
    report.queued = item.at("queued").get<std::uint64_t>();
    report.limit = item.at("limit").get<std::uint64_t>();
    if (const auto it = item.find("rate_limit"); it != item.end()) {
        report.rate_limit = rate{it->get<double>()};
    }
    report.server_crashes = item.value("server_crashes", std::uint64_t{0});
    report.quarantined_requests = item.value("quarantined_requests", std::uint64_t{0});
    report.service_time = microseconds(item, "service_time_us");
    report.measurements_per_second = item.at("measurements_per_second").get<double>();
    report.measuring_budget = item.at("measuring_budget").get<double>();
}

node_report parse_item(const json& item) {
    node_report report;
    report.node = target_id{item.at("node").get<std::string>()};
    report.vm = vm_id{item.at("vm").get<std::string>()};
    report.data_centre = data_centre_id{item.at("data_centre").get<std::string>()};
    report.service = service_id{item.at("service").get<std::string>()};
    report.state = item.at("state").get<std::string>();
    report.uptime = microseconds(item, "uptime_us");
    parse_plan(item.at("plan"), report);
    parse_load(item.at("load"), report);
    for (const auto& [service, calls] : item.at("calls_last_minute").items()) {
        report.calls[service_id{service}] = parse_calls(calls);
    }
    for (const auto& it : item.at("members")) {
        report.members.push_back(parse_member(it));
    }
    return report;
}

} // namespace

std::string to_json(const node_report& report) {
    json calls = json::object();
    for (const auto& [service, counts] : report.calls) {
        calls[service.value()] = to_item(counts);
    }
    json members = json::array();
    for (const auto& it : report.members) {
        members.push_back(to_item(it));
    }

    json item{{"node", report.node.value()},
              {"vm", report.vm.value()},
              {"data_centre", report.data_centre.value()},
              {"service", report.service.value()},
              {"state", report.state},
              {"uptime_us", report.uptime.count()},
              {"plan",
               {{"version", report.plan_version},
                {"hash", report.plan_hash},
                {"confirmed_age_us", report.plan_confirmed_age.count()},
                {"conflict", report.plan_conflict}}},
              {"load",
               {{"running", report.running},
                {"queued", report.queued},
                {"limit", report.limit},
                {"server_crashes", report.server_crashes},
                {"quarantined_requests", report.quarantined_requests},
                {"service_time_us", report.service_time.count()},
                {"measurements_per_second", report.measurements_per_second},
                {"measuring_budget", report.measuring_budget}}},
              {"calls_last_minute", calls},
              {"members", members}};
    if (report.rate_limit) {
        item["load"]["rate_limit"] = report.rate_limit->per_second;
    }
    return item.dump();
}

result<node_report> parse_node_report(std::string_view text) {
    try {
        return parse_item(json::parse(text));
    } catch (const json::exception& problem) {
        return error{"", problem.what()};
    }
}

} // namespace cornelpier
