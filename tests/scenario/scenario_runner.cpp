#include "tests/scenario/scenario_runner.hpp"

#include "tests/schedules/checker.hpp"
#include "tests/support/plan_sheet.hpp"

#include <algorithm>
#include <stdexcept>

namespace cornelpier::testing {

namespace {

/// Time for answers that are still due when the last command has run.
constexpr duration closing_time{std::chrono::seconds{5}};

std::runtime_error unknown_verb(const scenario_command& it) {
    return std::runtime_error("line " + std::to_string(it.line) + ": unknown verb " + it.verb);
}

server_settings parse_server(const scenario_command& it) {
    server_settings result;
    result.slots = static_cast<std::uint32_t>(std::stoul(it.option("slots", "10")));
    result.mean_service_time = parse_duration(it.option("time", "20ms"));
    result.exponential = it.option("distribution", "fixed") == "exponential";
    return result;
}

service_plan parse_service(const scenario_command& it) {
    service_plan result;
    result.id = service_id{it.word(0)};
    result.deadline = parse_duration(it.option("deadline", "2s"));
    result.tail_weight = std::stod(it.option("tail_weight", "0.9"));
    result.measuring = rate{std::stod(it.option("measuring", "20"))};
    result.slots = static_cast<std::uint32_t>(std::stoul(it.option("slots", "10")));
    result.key_memory = parse_duration(it.option("key_memory", "120s"));
    result.refusal_statuses = {503};
    result.rules = default_rules();
    return result;
}

bool on(const scenario_command& it) {
    return it.option("on", "yes") == "yes";
}

} // namespace

scenario_result scenario_runner::run(const std::vector<scenario_command>& commands) {
    scenario_runner runner;
    time_point end{};
    for (const auto& it : commands) {
        if (!it.at) {
            runner.set_up(it);
        }
        end = std::max(end, it.at.value_or(end) + closing_time);
    }

    runner.start();
    for (const auto& it : commands) {
        if (it.at) {
            runner.m_fleet->queue().call_at(*it.at, [&runner, &it] { runner.perform(it); });
        }
    }
    runner.m_fleet->queue().run_until(end);
    for (const auto& it : check_history(runner.m_fleet->records(), end)) {
        runner.m_result.failures.push_back("check: " + it);
    }
    return std::move(runner.m_result);
}

void scenario_runner::set_up(const scenario_command& it) {
    if (it.verb == "seed") {
        m_settings.seed = std::stoull(it.word(0));
    } else if (it.verb == "service") {
        m_plan.services.push_back(parse_service(it));
    } else if (it.verb == "target") {
        std::size_t number = 0;
        for (const auto& service : m_plan.services) {
            number += service.targets.size();
        }
        m_plan.services.back().targets.push_back(make_target(it.word(0), it.word(1), number));
    } else if (it.verb == "server") {
        m_settings.server_overrides[target_id{it.word(0)}] = parse_server(it);
    } else if (it.verb == "servers") {
        m_settings.default_server = parse_server(it);
    } else if (it.verb == "control") {
        m_settings.run_control_core = true;
    } else if (it.verb == "show") {
        m_settings.transcript_level = severity::debug;
    } else {
        throw unknown_verb(it);
    }
}

void scenario_runner::start() {
    m_plan.version = 1;
    m_plan.deployment = "scenario";
    m_settings.initial_plan = finalize_plan(m_plan);
    m_settings.transcript_sink = [this](const std::string& line) { m_result.transcript += line + "\n"; };
    m_fleet = std::make_unique<fleet>(m_settings);
}

void scenario_runner::perform(const scenario_command& it) {
    if (it.verb == "call") {
        call(it);
    } else if (it.verb == "load") {
        start_load(it);
    } else if (it.verb == "expect") {
        expect(it);
    } else if (it.verb == "expect-load") {
        expect_load(it);
    } else if (it.verb == "expect-plan") {
        expect_plan(it);
    } else if (!perform_on_process(it) && !perform_on_network(it) && !perform_on_server(it) &&
               !perform_on_platform(it)) {
        throw unknown_verb(it);
    }
}

bool scenario_runner::perform_on_process(const scenario_command& it) {
    if (it.verb == "abandon") {
        m_fleet->abandon(m_calls.at(it.word(0)));
        return true;
    }
    const target_id target{it.words.empty() ? "" : it.words.front()};
    if (it.verb == "kill") {
        m_fleet->kill(target);
    } else if (it.verb == "vanish") {
        m_fleet->kill(target, false);
    } else if (it.verb == "restart") {
        m_fleet->restart(target);
    } else if (it.verb == "pause") {
        m_fleet->pause(target);
    } else if (it.verb == "resume") {
        m_fleet->resume(target, {it.option("clock") == "frozen", it.option("notice") == "late"});
    } else if (it.verb == "terminate") {
        m_fleet->terminate(target);
    } else {
        return false;
    }
    return true;
}

template <typename Function>
void scenario_runner::for_each_pair(const scenario_command& it, Function function) {
    m_fleet->write(it.verb + " " + it.word(0) + " and " + it.word(1) + (on(it) ? "" : ": off"));
    const auto matches = [&](const target_id& target, const std::string& name) {
        return target.value() == name || m_plan.find_target(target)->data_centre.value() == name ||
               (name == "others" && target.value() != it.word(0) &&
                m_plan.find_target(target)->data_centre.value() != it.word(0));
    };
    for (const auto& a : m_fleet->targets()) {
        for (const auto& b : m_fleet->targets()) {
            if (a != b && matches(a, it.word(0)) && matches(b, it.word(1))) {
                function(m_fleet->index(a), m_fleet->index(b));
            }
        }
    }
}

bool scenario_runner::perform_on_network(const scenario_command& it) {
    auto& network = m_fleet->network();
    if (it.verb == "cut") {
        for_each_pair(it, [&](auto a, auto b) { network.partition(a, b); });
    } else if (it.verb == "heal") {
        for_each_pair(it, [&](auto a, auto b) { network.heal(a, b); });
    } else if (it.verb == "silence") {
        for_each_pair(it, [&](auto a, auto b) { network.set_silent(a, b, on(it)); });
    } else if (it.verb == "break") {
        for_each_pair(it, [&](auto a, auto b) { network.break_links(a, b); });
    } else if (it.verb == "duplicate") {
        for_each_pair(it, [&](auto a, auto b) { network.set_duplicating(a, b, on(it)); });
    } else {
        return false;
    }
    return true;
}

bool scenario_runner::perform_on_server(const scenario_command& it) {
    if (!it.verb.starts_with("server-")) {
        return false;
    }
    const target_id target{it.word(0)};
    auto& server = m_fleet->server(target);
    if (it.verb == "server-drain") {
        m_fleet->set_server_draining(target, on(it));
        return true;
    }
    m_fleet->write(it.verb + " " + target.value() + (on(it) ? "" : ": off"));
    if (it.verb == "server-slow") {
        server.set_slowdown(std::stod(it.option("factor", "1")));
    } else if (it.verb == "server-cold") {
        server.cold_start(std::stod(it.option("factor", "5")), parse_duration(it.option("for", "5s")));
    } else if (it.verb == "server-fail") {
        server.set_failing(on(it));
    } else if (it.verb == "server-shed") {
        server.set_shedding(on(it));
    } else if (it.verb == "server-down") {
        server.set_down(on(it));
    } else if (it.verb == "server-lose") {
        server.drop_responses(static_cast<std::uint32_t>(std::stoul(it.option("answers", "1"))));
    } else if (it.verb == "server-lie") {
        server.set_reporting_zero_load(on(it));
    } else if (it.verb == "server-lag") {
        server.set_report_age(parse_duration(it.option("age", "1s")));
    } else {
        return false;
    }
    return true;
}

bool scenario_runner::perform_on_platform(const scenario_command& it) {
    auto& platform = m_fleet->platform();
    if (it.verb == "vm") {
        m_fleet->set_vm_state(vm_id{it.word(0)},
                              it.word(1) == "leaving" ? vm_state::leaving : vm_state::live);
    } else if (it.verb == "plan") {
        publish_plan(it);
    } else if (it.verb == "configuration-down") {
        m_fleet->write(it.verb + (on(it) ? "" : ": off"));
        platform.set_available(!on(it));
    } else {
        return false;
    }
    return true;
}

void scenario_runner::publish_plan(const scenario_command& it) {
    auto changed = m_plan;
    changed.version = std::stoull(it.word(0));
    for (auto& service : changed.services) {
        service.deadline = parse_duration(it.option("deadline", "2s"));
        std::erase_if(service.targets,
                      [&](const target_plan& target) { return target.id.value() == it.option("without"); });
    }
    m_fleet->publish(finalize_plan(std::move(changed)));
}

void scenario_runner::call(const scenario_command& it) {
    const auto& name = it.word(0);
    if (it.options.contains("fate")) {
        const auto& asked = m_fleet->records().calls.at(m_calls.at(it.option("fate")));
        const auto token = asked.answers.empty() ? "" : asked.answers.front().token;
        m_calls[name] = m_fleet->request_fate(name, token, target_id{it.option("via")});
        return;
    }

    call_request request;
    request.name = name;
    request.method = it.word(1);
    request.service = service_id{it.word(2)};
    request.path = it.word(3);
    request.entry = target_id{it.option("via")};
    request.body = it.option("body", name);
    request.depth = static_cast<std::uint32_t>(std::stoul(it.option("depth", "0")));
    request.outer_retry = it.option("retry") == "yes";
    if (it.options.contains("key")) {
        request.key = it.option("key");
    }
    if (it.options.contains("deadline")) {
        request.deadline = parse_duration(it.option("deadline"));
    }
    m_calls[name] = m_fleet->call(std::move(request));
}

void scenario_runner::start_load(const scenario_command& it) {
    const auto every = parse_duration(it.option("every"));
    const time_point until{parse_duration(it.option("until"))};
    m_fleet->write("load " + it.word(0) + " starts");
    std::size_t n = 0;
    for (auto time = *it.at; time < until; time += every, ++n) {
        call_request request;
        request.name = it.word(0) + "-" + std::to_string(n);
        request.method = it.word(1);
        request.service = service_id{it.word(2)};
        request.path = it.word(3);
        const auto& targets = m_fleet->targets();
        request.entry =
            it.options.contains("via") ? target_id{it.option("via")} : targets[n % targets.size()];
        request.body = "quiet-" + request.name;
        request.hidden_from_transcript = true;
        m_fleet->queue().call_at(time, [this, request] { m_fleet->call(request); });
    }
}

void scenario_runner::fail(const scenario_command& it, const std::string& text) {
    m_result.failures.push_back("line " + std::to_string(it.line) + ": " + text);
}

/// Compares an option, if it is given: `name=value`, `name>=number` or `name<=number`.
void scenario_runner::compare(const scenario_command& it, const std::string& name,
                              const std::string& actual) {
    for (const std::string relation : {"", ">", "<"}) {
        const auto expected = it.options.find(name + relation);
        if (expected == it.options.end()) {
            continue;
        }
        const auto& value = expected->second;
        const bool holds = relation.empty()  ? value == actual
                           : relation == ">" ? std::stod(actual) >= std::stod(value)
                                             : std::stod(actual) <= std::stod(value);
        if (!holds) {
            std::string text = name;
            text.append(" is ").append(actual).append(", expected ").append(relation).append(value);
            fail(it, text);
        }
    }
}

void scenario_runner::expect(const scenario_command& it) {
    const auto& record = m_fleet->records().calls.at(m_calls.at(it.word(0)));
    const auto& body = record.request.body;
    const auto executions = std::ranges::count(m_fleet->records().executions, body, &execution::body);
    compare(it, "executions", std::to_string(executions));
    if (record.answers.empty()) {
        compare(it, "answered", "no");
        if (it.option("answered") != "no" && !it.options.contains("executions")) {
            fail(it, "no answer yet");
        }
        return;
    }

    const auto& answer = record.answers.front();
    compare(it, "answered", "yes");
    compare(it, "verdict", std::string{to_string(answer.outcome)});
    compare(it, "status", std::to_string(answer.status));
    compare(it, "body", answer.body);
    compare(it, "close", answer.close ? "yes" : "no");
    compare(it, "retry_after_ms", std::to_string(answer.retry_after.count() / 1000));
    compare(it, "ms", std::to_string((answer.at - record.sent).count() / 1000));
}

void scenario_runner::expect_load(const scenario_command& it) {
    std::map<verdict, std::size_t> counts;
    std::size_t calls = 0;
    std::size_t executions = 0;
    for (const auto& record : m_fleet->records().calls) {
        if (record.request.name.starts_with(it.word(0) + "-")) {
            ++calls;
            if (!record.answers.empty()) {
                ++counts[record.answers.front().outcome];
            }
        }
    }
    for (const auto& run : m_fleet->records().executions) {
        const bool at_target = !it.options.contains("at") || run.target.value() == it.option("at");
        executions += at_target && run.body.starts_with("quiet-" + it.word(0) + "-") ? 1 : 0;
    }
    compare(it, "calls", std::to_string(calls));
    compare(it, "executions", std::to_string(executions));
    for (const auto outcome : {verdict::ran, verdict::not_run, verdict::unknown}) {
        compare(it, std::string{to_string(outcome)}, std::to_string(counts[outcome]));
    }
    m_fleet->write("load " + it.word(0) + ": " + std::to_string(calls) + " calls, " +
                   std::to_string(counts[verdict::ran]) + " ran, " +
                   std::to_string(counts[verdict::not_run]) + " not run, " +
                   std::to_string(counts[verdict::unknown]) + " unknown");
}

void scenario_runner::expect_plan(const scenario_command& it) {
    for (const auto& target : m_fleet->targets()) {
        const auto* control = m_fleet->host(target).control();
        if (control == nullptr) {
            continue;
        }
        const auto version = control->snapshot(m_fleet->host(target).local_now()).digest.version;
        m_fleet->write("node " + target.value() + " has plan " + std::to_string(version));
        compare(it, "version", std::to_string(version));
    }
}

} // namespace cornelpier::testing
