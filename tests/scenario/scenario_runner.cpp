#include "tests/scenario/scenario_runner.hpp"

#include "tests/schedules/checker.hpp"
#include "tests/support/plan_sheet.hpp"

#include <algorithm>
#include <stdexcept>

namespace cornelpier::testing {

namespace {

/// Time after the last command in which pending answers may still arrive.
constexpr duration settle_time{std::chrono::seconds{5}};

std::runtime_error unknown_verb(const scenario_command& command) {
    return std::runtime_error("line " + std::to_string(command.line) + ": unknown verb " + command.verb);
}

server_settings parse_server(const scenario_command& command) {
    server_settings result;
    result.slots = static_cast<std::uint32_t>(std::stoul(command.option("slots", "10")));
    result.mean_service_time = parse_duration(command.option("time", "20ms"));
    result.exponential = command.option("distribution", "fixed") == "exponential";
    return result;
}

service_plan parse_service(const scenario_command& command) {
    service_plan result;
    result.id = service_id{command.argument(0)};
    result.deadline = parse_duration(command.option("deadline", "2s"));
    result.tail_weight = std::stod(command.option("tail_weight", "0.9"));
    result.measuring = rate{std::stod(command.option("measuring", "20"))};
    result.slots = static_cast<std::uint32_t>(std::stoul(command.option("slots", "10")));
    result.key_memory = parse_duration(command.option("key_memory", "120s"));
    result.refusal_statuses = {503};
    result.rules = default_rules();
    return result;
}

bool is_enabled(const scenario_command& command) {
    return command.option("on", "yes") == "yes";
}

} // namespace

scenario_result scenario_runner::run(const std::vector<scenario_command>& commands) {
    scenario_runner runner;
    time_point end{};
    for (const auto& command : commands) {
        if (!command.at) {
            runner.configure(command);
        }
        end = std::max(end, command.at.value_or(end) + settle_time);
    }

    runner.start_fleet();
    for (const auto& command : commands) {
        if (command.at) {
            runner.m_fleet->queue().call_at(*command.at, [&runner, &command] { runner.execute(command); });
        }
    }
    runner.m_fleet->queue().run_until(end);
    for (const auto& violation : check_history(runner.m_fleet->records(), end)) {
        runner.m_result.failures.push_back("check: " + violation);
    }
    return std::move(runner.m_result);
}

void scenario_runner::configure(const scenario_command& command) {
    if (command.verb == "seed") {
        m_settings.seed = std::stoull(command.argument(0));
    } else if (command.verb == "service") {
        m_plan.services.push_back(parse_service(command));
    } else if (command.verb == "target") {
        std::size_t number = 0;
        for (const auto& service : m_plan.services) {
            number += service.targets.size();
        }
        m_plan.services.back().targets.push_back(
            make_target(command.argument(0), command.argument(1), number));
    } else if (command.verb == "server") {
        m_settings.server_overrides[target_id{command.argument(0)}] = parse_server(command);
    } else if (command.verb == "servers") {
        m_settings.default_server = parse_server(command);
    } else if (command.verb == "control") {
        m_settings.run_control_core = true;
    } else if (command.verb == "show") {
        m_settings.transcript_level = severity::debug;
    } else {
        throw unknown_verb(command);
    }
}

void scenario_runner::start_fleet() {
    m_plan.version = 1;
    m_plan.deployment = "scenario";
    m_settings.initial_plan = finalize_plan(m_plan);
    m_settings.transcript_sink = [this](const std::string& line) { m_result.transcript += line + "\n"; };
    m_fleet = std::make_unique<fleet>(m_settings);
}

void scenario_runner::execute(const scenario_command& command) {
    if (command.verb == "call") {
        send_call(command);
    } else if (command.verb == "load") {
        start_load(command);
    } else if (command.verb == "expect") {
        expect(command);
    } else if (command.verb == "expect-load") {
        expect_load(command);
    } else if (command.verb == "expect-plan") {
        expect_plan(command);
    } else if (!execute_on_process(command) && !execute_on_network(command) && !execute_on_server(command) &&
               !execute_on_platform(command)) {
        throw unknown_verb(command);
    }
}

bool scenario_runner::execute_on_process(const scenario_command& command) {
    if (command.verb == "abandon") {
        m_fleet->abandon(m_calls.at(command.argument(0)));
        return true;
    }
    const target_id target{command.arguments.empty() ? "" : command.arguments.front()};
    if (command.verb == "kill") {
        m_fleet->kill(target);
    } else if (command.verb == "vanish") {
        m_fleet->kill(target, false);
    } else if (command.verb == "restart") {
        m_fleet->restart(target);
    } else if (command.verb == "pause") {
        m_fleet->pause(target);
    } else if (command.verb == "resume") {
        m_fleet->resume(target, {command.option("clock") == "frozen", command.option("notice") == "late"});
    } else if (command.verb == "terminate") {
        m_fleet->terminate(target);
    } else {
        return false;
    }
    return true;
}

template <typename Function>
void scenario_runner::for_each_pair(const scenario_command& command, Function function) {
    m_fleet->write_transcript(command.verb + " " + command.argument(0) + " and " + command.argument(1) +
                              (is_enabled(command) ? "" : ": off"));
    const auto matches = [&](const target_id& target, const std::string& name) {
        return target.value() == name || m_plan.find_target(target)->data_centre.value() == name ||
               (name == "others" && target.value() != command.argument(0) &&
                m_plan.find_target(target)->data_centre.value() != command.argument(0));
    };
    for (const auto& a : m_fleet->targets()) {
        for (const auto& b : m_fleet->targets()) {
            if (a != b && matches(a, command.argument(0)) && matches(b, command.argument(1))) {
                function(m_fleet->index(a), m_fleet->index(b));
            }
        }
    }
}

bool scenario_runner::execute_on_network(const scenario_command& command) {
    auto& network = m_fleet->network();
    if (command.verb == "cut") {
        for_each_pair(command, [&](auto a, auto b) { network.partition(a, b); });
    } else if (command.verb == "heal") {
        for_each_pair(command, [&](auto a, auto b) { network.heal(a, b); });
    } else if (command.verb == "silence") {
        for_each_pair(command, [&](auto a, auto b) { network.set_silent(a, b, is_enabled(command)); });
    } else if (command.verb == "break") {
        for_each_pair(command, [&](auto a, auto b) { network.break_links(a, b); });
    } else if (command.verb == "duplicate") {
        for_each_pair(command, [&](auto a, auto b) { network.set_duplicating(a, b, is_enabled(command)); });
    } else {
        return false;
    }
    return true;
}

bool scenario_runner::execute_on_server(const scenario_command& command) {
    if (!command.verb.starts_with("server-")) {
        return false;
    }
    const target_id target{command.argument(0)};
    auto& server = m_fleet->server(target);
    if (command.verb == "server-drain") {
        m_fleet->set_server_draining(target, is_enabled(command));
        return true;
    }
    m_fleet->write_transcript(command.verb + " " + target.value() + (is_enabled(command) ? "" : ": off"));
    if (command.verb == "server-slow") {
        server.set_slowdown(std::stod(command.option("factor", "1")));
    } else if (command.verb == "server-cold") {
        server.cold_start(std::stod(command.option("factor", "5")),
                          parse_duration(command.option("for", "5s")));
    } else if (command.verb == "server-fail") {
        server.set_failing(is_enabled(command));
    } else if (command.verb == "server-shed") {
        server.set_shedding(is_enabled(command));
    } else if (command.verb == "server-down") {
        server.set_down(is_enabled(command));
    } else if (command.verb == "server-lose") {
        server.drop_responses(static_cast<std::uint32_t>(std::stoul(command.option("answers", "1"))));
    } else if (command.verb == "server-lie") {
        server.set_reporting_zero_load(is_enabled(command));
    } else if (command.verb == "server-lag") {
        server.set_report_age(parse_duration(command.option("age", "1s")));
    } else {
        return false;
    }
    return true;
}

bool scenario_runner::execute_on_platform(const scenario_command& command) {
    auto& platform = m_fleet->platform();
    if (command.verb == "vm") {
        m_fleet->set_vm_state(vm_id{command.argument(0)},
                              command.argument(1) == "leaving" ? vm_state::leaving : vm_state::live);
    } else if (command.verb == "plan") {
        publish_plan(command);
    } else if (command.verb == "configuration-down") {
        m_fleet->write_transcript(command.verb + (is_enabled(command) ? "" : ": off"));
        platform.set_available(!is_enabled(command));
    } else {
        return false;
    }
    return true;
}

void scenario_runner::publish_plan(const scenario_command& command) {
    auto changed = m_plan;
    changed.version = std::stoull(command.argument(0));
    for (auto& service : changed.services) {
        service.deadline = parse_duration(command.option("deadline", "2s"));
        std::erase_if(service.targets, [&](const target_plan& target) {
            return target.id.value() == command.option("without");
        });
    }
    m_fleet->publish(finalize_plan(std::move(changed)));
}

void scenario_runner::send_call(const scenario_command& command) {
    const auto& name = command.argument(0);
    if (command.options.contains("fate")) {
        const auto& asked = m_fleet->records().calls.at(m_calls.at(command.option("fate")));
        const auto token = asked.answers.empty() ? "" : asked.answers.front().token;
        m_calls[name] = m_fleet->request_fate(name, token, target_id{command.option("via")});
        return;
    }

    call_request request;
    request.name = name;
    request.method = command.argument(1);
    request.service = service_id{command.argument(2)};
    request.path = command.argument(3);
    request.entry = target_id{command.option("via")};
    request.body = command.option("body", name);
    request.depth = static_cast<std::uint32_t>(std::stoul(command.option("depth", "0")));
    request.outer_retry = command.option("retry") == "yes";
    if (command.options.contains("key")) {
        request.key = command.option("key");
    }
    if (command.options.contains("deadline")) {
        request.deadline = parse_duration(command.option("deadline"));
    }
    m_calls[name] = m_fleet->send_call(std::move(request));
}

void scenario_runner::start_load(const scenario_command& command) {
    const auto every = parse_duration(command.option("every"));
    const time_point until{parse_duration(command.option("until"))};
    m_fleet->write_transcript("load " + command.argument(0) + " starts");
    std::size_t n = 0;
    for (auto time = *command.at; time < until; time += every, ++n) {
        call_request request;
        request.name = command.argument(0) + "-" + std::to_string(n);
        request.method = command.argument(1);
        request.service = service_id{command.argument(2)};
        request.path = command.argument(3);
        const auto& targets = m_fleet->targets();
        request.entry =
            command.options.contains("via") ? target_id{command.option("via")} : targets[n % targets.size()];
        request.body = "quiet-" + request.name;
        request.hidden_from_transcript = true;
        m_fleet->queue().call_at(time, [this, request] { m_fleet->send_call(request); });
    }
}

void scenario_runner::add_failure(const scenario_command& command, const std::string& text) {
    m_result.failures.push_back("line " + std::to_string(command.line) + ": " + text);
}

/// Checks an expectation if the command has one for `name`: `name=value`, `name>=number` or `name<=number`.
void scenario_runner::check_option(const scenario_command& command, const std::string& name,
                                   const std::string& actual) {
    for (const std::string relation : {"", ">", "<"}) {
        const auto expected = command.options.find(name + relation);
        if (expected == command.options.end()) {
            continue;
        }
        const auto& value = expected->second;
        const bool holds = relation.empty()  ? value == actual
                           : relation == ">" ? std::stod(actual) >= std::stod(value)
                                             : std::stod(actual) <= std::stod(value);
        if (!holds) {
            std::string text = name;
            text.append(" is ").append(actual).append(", expected ").append(relation).append(value);
            add_failure(command, text);
        }
    }
}

void scenario_runner::expect(const scenario_command& command) {
    const auto& record = m_fleet->records().calls.at(m_calls.at(command.argument(0)));
    const auto& body = record.request.body;
    const auto executions = std::ranges::count(m_fleet->records().executions, body, &execution::body);
    check_option(command, "executions", std::to_string(executions));
    if (record.answers.empty()) {
        check_option(command, "answered", "no");
        if (command.option("answered") != "no" && !command.options.contains("executions")) {
            add_failure(command, "no answer yet");
        }
        return;
    }

    const auto& answer = record.answers.front();
    check_option(command, "answered", "yes");
    check_option(command, "verdict", std::string{to_string(answer.outcome)});
    check_option(command, "status", std::to_string(answer.status));
    check_option(command, "body", answer.body);
    check_option(command, "close", answer.close ? "yes" : "no");
    check_option(command, "retry_after_ms", std::to_string(answer.retry_after.count() / 1000));
    check_option(command, "ms", std::to_string((answer.at - record.sent).count() / 1000));
}

void scenario_runner::expect_load(const scenario_command& command) {
    std::map<verdict, std::size_t> counts;
    std::size_t calls = 0;
    std::size_t executions = 0;
    for (const auto& record : m_fleet->records().calls) {
        if (record.request.name.starts_with(command.argument(0) + "-")) {
            ++calls;
            if (!record.answers.empty()) {
                ++counts[record.answers.front().outcome];
            }
        }
    }
    for (const auto& run : m_fleet->records().executions) {
        const bool at_target = !command.options.contains("at") || run.target.value() == command.option("at");
        executions += at_target && run.body.starts_with("quiet-" + command.argument(0) + "-") ? 1 : 0;
    }
    check_option(command, "calls", std::to_string(calls));
    check_option(command, "executions", std::to_string(executions));
    for (const auto outcome : {verdict::ran, verdict::not_run, verdict::unknown}) {
        check_option(command, std::string{to_string(outcome)}, std::to_string(counts[outcome]));
    }
    m_fleet->write_transcript("load " + command.argument(0) + ": " + std::to_string(calls) + " calls, " +
                              std::to_string(counts[verdict::ran]) + " ran, " +
                              std::to_string(counts[verdict::not_run]) + " not run, " +
                              std::to_string(counts[verdict::unknown]) + " unknown");
}

void scenario_runner::expect_plan(const scenario_command& command) {
    for (const auto& target : m_fleet->targets()) {
        const auto* control = m_fleet->host(target).control();
        if (control == nullptr) {
            continue;
        }
        const auto version = control->snapshot(m_fleet->host(target).local_now()).digest.version;
        m_fleet->write_transcript("node " + target.value() + " has plan " + std::to_string(version));
        check_option(command, "version", std::to_string(version));
    }
}

} // namespace cornelpier::testing
