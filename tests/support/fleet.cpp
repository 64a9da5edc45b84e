#include "tests/support/fleet.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace cornelpier::testing {

std::string format_time(time_point time) {
    std::array<char, 32> buf{};
    const auto n = std::snprintf(buf.data(), buf.size(), "%11.6f", to_seconds(time.time_since_epoch()));
    return {buf.data(), static_cast<std::size_t>(n)};
}

fleet::fleet(fleet_settings settings)
    : m_settings(std::move(settings)), m_random(m_settings.seed), m_platform(m_queue),
      m_plan(m_settings.initial_plan) {
    network_hooks hooks;
    hooks.deliver = [this](node_index node, const traffic_event& event) { m_hosts[node]->deliver(event); };
    hooks.deliver_control = [this](node_index node, const control_message_received& event) {
        m_hosts[node]->deliver(control_event{event});
    };
    hooks.responsive = [this](node_index node) { return m_hosts[node]->alive() && !m_hosts[node]->paused(); };
    m_network =
        std::make_unique<fake_network>(m_queue, m_settings.network, m_random.split(), std::move(hooks));

    m_platform.publish(m_plan->version, m_plan->sheet);
    for (const auto& service : m_plan->services) {
        for (const auto& target : service.targets) {
            m_platform.set_vm_state(target.vm, vm_state::live);
            m_vms[target.vm] = vm_state::live;
            add_target(target, service.id);
        }
    }
    for (node_index node = 0; node < m_hosts.size(); ++node) {
        start(node);
    }
}

void fleet::add_target(const target_plan& target, const service_id& service) {
    const auto node = m_hosts.size();
    m_targets.push_back(target.id);
    m_indices[target.id] = node;
    m_network->add_node(target.node_address, target.data_centre);

    const auto found = m_settings.server_overrides.find(target.id);
    const auto& settings =
        found == m_settings.server_overrides.end() ? m_settings.default_server : found->second;
    m_servers.push_back(std::make_unique<fake_server>(
        m_queue, settings, m_random.split(),
        [this, node](const http_request& request) { record_execution(node, request); }));
    m_hosts.push_back(
        std::make_unique<node_host>(node, m_queue, *m_network, *m_servers.back(), make_hooks()));
    m_unanswered_calls.emplace_back();
    m_history.measuring_budgets[target.id] = m_plan->find_service(service)->measuring;
}

host_hooks fleet::make_hooks() {
    host_hooks hooks;
    hooks.on_answer = [this](node_index node, const answer_caller& action) { handle_answer(node, action); };
    hooks.on_event = [this](node_index node, const event_record& record) {
        const auto& kind = describe(record.number);
        if (!m_settings.transcript_sink || kind.level < m_settings.transcript_level) {
            return;
        }
        std::string line = m_targets[node].value() + " event ";
        line += std::to_string(static_cast<unsigned>(record.number)) + " ";
        line += kind.name;
        for (const auto& [name, value] : record.fields) {
            line.append(" ").append(name).append("=").append(value);
        }
        write_transcript(line);
    };
    hooks.on_metric = [this](node_index, const record_metric& action) {
        m_metric_totals[action.kind] += action.value;
    };
    hooks.on_measurement = [this](node_index node) {
        m_history.measurements[m_targets[node]].push_back(m_queue.now());
    };
    hooks.on_drained = [this](node_index node) { handle_drained(node); };
    hooks.on_plan_read = [this](node_index node, const read_plan& action) {
        m_platform.read_plan(action.newer_than,
                             [this, node](const control_event& event) { m_hosts[node]->deliver(event); });
    };
    hooks.on_vm_list_read = [this](node_index node) {
        m_platform.read_vm_list([this, node](const control_event& event) { m_hosts[node]->deliver(event); });
    };
    hooks.inject_fault = m_settings.inject_fault;
    return hooks;
}

fake_server& fleet::server(const target_id& target) {
    return *m_servers[index(target)];
}

node_host& fleet::host(const target_id& target) {
    return *m_hosts[index(target)];
}

node_index fleet::index(const target_id& target) const {
    return m_indices.at(target);
}

double fleet::metric_total(metric kind) const {
    const auto it = m_metric_totals.find(kind);
    return it == m_metric_totals.end() ? 0 : it->second;
}

node_identity fleet::make_identity(const target_id& target) {
    // Identities come from the initial plan, since a node keeps its settings when a later plan removes its
    // target.
    const auto& settings = *m_settings.initial_plan;
    const auto* service = settings.service_of(target);
    const auto* planned = settings.find_target(target);
    node_identity result{target, incarnation{m_random.next()}, planned->vm, planned->data_centre, service->id,
                         {}};
    for (const auto& it : service->targets) {
        if (it.id != target && result.seeds.size() < 3) {
            result.seeds.push_back({it.id, it.node_address});
        }
    }
    return result;
}

void fleet::start(node_index node) {
    constexpr duration first_view_delay{std::chrono::milliseconds{10}};
    m_network->start_process(node);
    m_hosts[node]->start(make_identity(m_targets[node]), m_random.next(), m_settings.run_control_core,
                         m_settings.options);
    if (!m_settings.run_control_core) {
        deliver_view(node, first_view_delay);
    }
}

void fleet::deliver_view(node_index node, duration delay) {
    m_queue.call_after(delay, [this, node] {
        auto view = std::make_shared<fleet_view>();
        view->current_plan = m_plan;
        for (const auto& target : m_targets) {
            if (const auto* planned = m_plan->find_target(target)) {
                view->vm_states[target] = m_vms[planned->vm];
            }
        }
        m_hosts[node]->deliver(traffic_event{fleet_changed{view}});
    });
}

std::size_t fleet::send_call(call_request request) {
    const auto position = m_history.calls.size();
    call_record record;
    if (const auto* service = m_plan->find_service(request.service)) {
        const auto* rule = service->match(request.method, request.path);
        record.idempotent = rule != nullptr && rule->idempotent;
        record.deadline = std::min(request.deadline.value_or(service->deadline), service->deadline);
    }
    record.sent = m_queue.now();
    record.request = std::move(request);
    if (!record.request.hidden_from_transcript) {
        write_transcript("caller " + record.request.name + " sends " + record.request.method + " " +
                         record.request.service.value() + " " + record.request.path + " to " +
                         record.request.entry.value());
    }
    m_history.calls.push_back(std::move(record));
    m_queue.call_after(m_settings.network.caller_to_entry, [this, position] { deliver_call(position); });
    return position;
}

std::size_t fleet::request_fate(const std::string& name, const std::string& token, const target_id& entry) {
    const auto position = m_history.calls.size();
    call_record record;
    record.request.name = name;
    record.request.entry = entry;
    record.request.body = token;
    record.is_fate_request = true;
    record.sent = m_queue.now();
    record.deadline = m_plan->services.front().deadline;
    write_transcript("caller " + name + " asks " + entry.value() + " for the fate of a request");
    m_history.calls.push_back(std::move(record));
    m_queue.call_after(m_settings.network.caller_to_entry, [this, position] { deliver_call(position); });
    return position;
}

void fleet::deliver_call(std::size_t call) {
    auto& record = m_history.calls[call];
    const auto& request = record.request;
    const auto node = index(request.entry);
    record.answer_optional = !m_hosts[node]->alive() || m_hosts[node]->paused();
    if (!m_hosts[node]->alive()) {
        if (!request.hidden_from_transcript) {
            write_transcript("caller " + request.name + " cannot connect");
        }
        return;
    }

    m_unanswered_calls[node].insert(call);
    const call_id id{call + 1};
    if (record.is_fate_request) {
        m_hosts[node]->deliver(traffic_event{call_fate_requested{id, request.body}});
        return;
    }
    const http_request http{request.method, request.path, {}, make_body(request.body)};
    m_hosts[node]->deliver(traffic_event{call_arrived{id, request.service, http, request.key,
                                                      request.deadline, request.depth, request.outer_retry}});
}

void fleet::abandon(std::size_t call) {
    auto& record = m_history.calls[call];
    record.answer_optional = true;
    const auto node = index(record.request.entry);
    write_transcript("caller " + record.request.name + " disconnects");
    if (m_unanswered_calls[node].erase(call) > 0) {
        m_hosts[node]->deliver(traffic_event{call_abandoned{call_id{call + 1}}});
    }
}

void fleet::handle_answer(node_index node, const answer_caller& action) {
    const auto call = static_cast<std::size_t>(action.call.value() - 1);
    m_unanswered_calls[node].erase(call);
    call_answer answer{{},           action.response.status, action.outcome, *action.response.body,
                       action.token, action.retry_after,     action.close};
    m_queue.call_after(m_settings.network.caller_to_entry,
                       [this, call, answer] { deliver_answer(call, answer); });
}

void fleet::deliver_answer(std::size_t call, const call_answer& answer) {
    auto& record = m_history.calls[call];
    record.answers.push_back(answer);
    record.answers.back().at = m_queue.now();
    if (record.request.hidden_from_transcript) {
        return;
    }
    auto line = "caller " + record.request.name + " receives " + std::to_string(answer.status) + " " +
                std::string{to_string(answer.outcome)};
    if (answer.retry_after > duration{}) {
        line += " retry-after=" + std::to_string(answer.retry_after.count() / 1000) + "ms";
    }
    line += answer.close ? " close" : "";
    write_transcript(line + (answer.body.empty() ? "" : " " + answer.body));
}

void fleet::record_execution(node_index node, const http_request& request) {
    m_history.executions.push_back({m_queue.now(), m_targets[node], *request.body});
    if (m_settings.transcript_sink && !request.body->starts_with("quiet-")) {
        write_transcript("server of " + m_targets[node].value() + " executes " + request.method + " " +
                         request.path + " " + *request.body);
    }
}

void fleet::handle_drained(node_index node) {
    const auto& name = m_targets[node];
    write_transcript("node " + name.value() + " has drained and ends");
    if (m_servers[node]->load() > 0) {
        m_history.interrupted_work.push_back(name.value() + ": runs at the server");
    }
    for (const auto call : m_unanswered_calls[node]) {
        // A call that arrived during a pause and is still queued counts as refused by the stopped process.
        if (m_hosts[node]->is_queued(call_id{call + 1})) {
            continue;
        }
        m_history.interrupted_work.push_back(name.value() + ": call " + m_history.calls[call].request.name);
    }
    m_queue.call_after(duration{}, [this, name] { end_process(name, true); });
}

void fleet::make_answers_optional(node_index node) {
    for (const auto call : m_unanswered_calls[node]) {
        m_history.calls[call].answer_optional = true;
    }
}

void fleet::kill(const target_id& target, bool notify_peers) {
    const auto node = index(target);
    if (!m_hosts[node]->alive()) {
        return;
    }
    write_transcript("node " + target.value() + (notify_peers ? " is killed" : " vanishes"));
    end_process(target, notify_peers);
}

void fleet::end_process(const target_id& target, bool notify_peers) {
    const auto node = index(target);
    make_answers_optional(node);
    m_unanswered_calls[node].clear();
    m_hosts[node]->kill(notify_peers);
    for (const auto cause : {drain_cause::terminate, drain_cause::server_draining, drain_cause::vm_leaving}) {
        set_drain_cause(target, cause, false);
    }
}

void fleet::restart(const target_id& target) {
    kill(target);
    write_transcript("node " + target.value() + " starts");
    start(index(target));
    set_drain_cause(target, drain_cause::server_draining, server(target).draining());
    set_drain_cause(target, drain_cause::vm_leaving,
                    m_vms[m_settings.initial_plan->find_target(target)->vm] == vm_state::leaving);
}

void fleet::pause(const target_id& target) {
    write_transcript("node " + target.value() + " is paused");
    make_answers_optional(index(target));
    host(target).pause();
}

void fleet::resume(const target_id& target, resume_options options) {
    write_transcript("node " + target.value() + " resumes");
    // A paused process cannot observe a drain cause, so open periods begin at the resumption.
    for (auto& it : m_history.drains) {
        if (it.target == target && !it.until && host(target).paused()) {
            it.from = m_queue.now();
        }
    }
    host(target).resume(options);
}

void fleet::terminate(const target_id& target) {
    if (!host(target).alive()) {
        return;
    }
    write_transcript("node " + target.value() + " is asked to stop");
    set_drain_cause(target, drain_cause::terminate, true);
    host(target).deliver(traffic_event{terminate_requested{}});
}

void fleet::set_server_draining(const target_id& target, bool value) {
    write_transcript("server of " + target.value() + (value ? " drains" : " stops draining"));
    server(target).set_draining(value);
    set_drain_cause(target, drain_cause::server_draining, value);
}

void fleet::set_vm_state(const vm_id& vm, vm_state state) {
    write_transcript("VM " + vm.value() + (state == vm_state::leaving ? " is leaving" : " is live"));
    m_platform.set_vm_state(vm, state);
    m_vms[vm] = state;
    for (const auto& target : m_targets) {
        if (m_settings.initial_plan->find_target(target)->vm == vm) {
            set_drain_cause(target, drain_cause::vm_leaving, state == vm_state::leaving);
        }
    }
    for (node_index node = 0; !m_settings.run_control_core && node < m_hosts.size(); ++node) {
        deliver_view(node, m_settings.view_propagation_delay);
    }
}

void fleet::publish(std::shared_ptr<const plan> value) {
    write_transcript("plan " + std::to_string(value->version) + " is published");
    m_plan = std::move(value);
    m_platform.publish(m_plan->version, m_plan->sheet);
    for (node_index node = 0; !m_settings.run_control_core && node < m_hosts.size(); ++node) {
        deliver_view(node, m_settings.view_propagation_delay * static_cast<std::int64_t>(node + 1));
    }
}

void fleet::set_drain_cause(const target_id& target, drain_cause cause, bool value) {
    const auto it = std::ranges::find_if(m_history.drains, [&](const drain_period& period) {
        return period.target == target && period.cause == cause && !period.until;
    });
    const bool is_open = it != m_history.drains.end();
    // No process can observe the cause while the node is down; `restart` opens the period instead.
    if (value && !is_open && host(target).alive()) {
        m_history.drains.push_back({target, cause, m_queue.now(), std::nullopt});
    }
    if (!value && is_open) {
        it->until = m_queue.now();
    }
}

void fleet::write_transcript(const std::string& text) {
    if (m_settings.transcript_sink) {
        m_settings.transcript_sink(format_time(m_queue.now()) + " " + text);
    }
}

} // namespace cornelpier::testing
