#pragma once

#include "cornelpier/message/codec.hpp"
#include "cornelpier/node/traffic_core.hpp"
#include "cornelpier/plan/plan.hpp"

#include "bench/capacity/heap.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cornelpier::testing {

/// Runs one entry and the owners of its subset in virtual time. Every message is encoded and decoded; CPU
/// time is accounted separately for the entry and the owners.
class traffic_harness {
  public:
    explicit traffic_harness(std::shared_ptr<const plan> sheet) : m_plan(std::move(sheet)) {
        m_view = std::make_shared<fleet_view>();
        m_view->current_plan = m_plan;
        const auto& service = m_plan->services.front();
        m_entry.core = make_core(m_plan->services.back().targets.back(), m_plan->services.back().id);
        for (const auto& it : service.targets) {
            m_owners[it.id].core = make_core(it, service.id);
        }
        deliver_to_entry(fleet_changed{m_view});
        for (auto& it : m_owners) {
            deliver_to_owner(it.second, fleet_changed{m_view});
        }
    }

    /// Sends a call and processes all events until it is answered.
    void call(bool idempotent, bool with_key) {
        start_call(idempotent, with_key);
        answer_pending_runs();
    }

    /// Sends a call and leaves it running at the server.
    void start_call(bool idempotent, bool with_key) {
        call_arrived event;
        event.call = call_id{++m_calls};
        event.service = m_plan->services.front().id;
        event.request = {idempotent ? "GET" : "POST", "/orders/17", {{"accept", "*/*"}}, make_body("{}")};
        if (with_key) {
            event.key = "key-" + std::to_string(m_calls);
        }
        deliver_to_entry(event);
        run_until_idle();
    }

    /// Completes all runs in progress at the servers.
    void answer_pending_runs() {
        advance_time(std::chrono::milliseconds{1});
        for (auto& it : m_owners) {
            for (const auto run : std::exchange(it.second.runs, {})) {
                deliver_to_owner(it.second,
                                 server_answered{run, {200, {}, make_body(std::string(200, 'x'))}});
            }
        }
        run_until_idle();
    }

    /// Advances the virtual clock in steps of at most 1 ms.
    void advance_time(duration length) {
        const time_point end = m_now + length;
        while (m_now < end) {
            m_now = std::min(end, m_now + std::chrono::milliseconds{1});
            advance_due(m_entry, entry_cpu_us);
            for (auto& it : m_owners) {
                advance_due(it.second, owner_cpu_us);
            }
            run_until_idle();
        }
    }

    [[nodiscard]] traffic_snapshot entry() const { return m_entry.core->snapshot(); }

    [[nodiscard]] std::size_t ledger_records() const {
        std::size_t count = 0;
        for (const auto& it : m_owners) {
            count += it.second.core->snapshot().ledger_records;
        }
        return count;
    }

    double entry_cpu_us = 0;
    double owner_cpu_us = 0;
    std::size_t answers = 0;
    std::size_t probes = 0;
    std::size_t messages = 0;
    std::size_t bytes = 0;

  private:
    struct host {
        std::unique_ptr<traffic_core> core;
        traffic_actions actions;
        std::vector<run_id> runs;
    };

    std::unique_ptr<traffic_core> make_core(const target_plan& target, const service_id& service) {
        node_identity identity{target.id, incarnation{++m_processes}, target.vm, target.data_centre, service,
                               {}};
        return std::make_unique<traffic_core>(std::move(identity), m_processes, m_now);
    }

    void advance_due(host& it, double& cpu_us) {
        const auto due = it.core->next_due();
        if (!due || *due > m_now) {
            return;
        }
        const double begin = cpu_microseconds();
        it.core->advance(m_now, it.actions);
        cpu_us += cpu_microseconds() - begin;
    }

    void deliver_to_entry(const traffic_event& event) {
        const double begin = cpu_microseconds();
        m_entry.core->handle(event, m_now, m_entry.actions);
        entry_cpu_us += cpu_microseconds() - begin;
    }

    void deliver_to_owner(host& to, const traffic_event& event) {
        const double begin = cpu_microseconds();
        to.core->handle(event, m_now, to.actions);
        owner_cpu_us += cpu_microseconds() - begin;
    }

    void run_until_idle() {
        bool busy = true;
        while (busy) {
            busy = execute_entry_actions();
            for (auto& it : m_owners) {
                busy = execute_owner_actions(it.second) || busy;
            }
        }
    }

    bool execute_entry_actions() {
        const auto actions = std::exchange(m_entry.actions, {});
        for (const auto& action : actions) {
            if (const auto* open = std::get_if<open_link>(&action)) {
                accept_link(*open);
            } else if (const auto* sent = std::get_if<send_message>(&action)) {
                send_to_owner(*sent);
            } else if (std::holds_alternative<answer_caller>(action)) {
                ++answers;
            }
        }
        return !actions.empty();
    }

    void accept_link(const open_link& open) {
        const auto found = m_owners.find(open.peer);
        if (found == m_owners.end()) {
            return;
        }
        m_peers[open.link] = &found->second;
        m_links[&found->second] = open.link;
        deliver_to_owner(found->second, link_opened{accepted_link_id(open.link)});
        deliver_to_entry(link_opened{open.link});
    }

    static link_id accepted_link_id(link_id link) { return link_id{link.value() | accepted_link_bit}; }

    void send_to_owner(const send_message& sent) {
        probes += std::holds_alternative<probe>(sent.message) ? 1U : 0U;
        const auto found = m_peers.find(sent.link);
        if (found != m_peers.end()) {
            const auto message = round_trip_codec(sent.message, entry_cpu_us, owner_cpu_us);
            deliver_to_owner(*found->second, message_received{accepted_link_id(sent.link), message});
        }
    }

    bool execute_owner_actions(host& from) {
        const auto actions = std::exchange(from.actions, {});
        for (const auto& action : actions) {
            if (const auto* run = std::get_if<start_run>(&action)) {
                from.runs.push_back(run->run);
            } else if (const auto* sent = std::get_if<send_message>(&action)) {
                const auto message = round_trip_codec(sent->message, owner_cpu_us, entry_cpu_us);
                deliver_to_entry(message_received{m_links[&from], message});
            } else if (std::holds_alternative<read_server_report>(action)) {
                deliver_to_owner(from, server_report{});
            }
        }
        return !actions.empty();
    }

    traffic_message round_trip_codec(const traffic_message& message, double& sender_cpu_us,
                                     double& receiver_cpu_us) {
        const double begin = cpu_microseconds();
        const auto written = encode(message);
        const double middle = cpu_microseconds();
        auto decoded = std::get<node_message>(decode(written));
        receiver_cpu_us += cpu_microseconds() - middle;
        sender_cpu_us += middle - begin;
        ++messages;
        bytes += written.size();
        return std::get<traffic_message>(std::move(decoded));
    }

    std::shared_ptr<const plan> m_plan;
    std::shared_ptr<fleet_view> m_view;
    time_point m_now{std::chrono::seconds{1000}};
    std::uint64_t m_processes = 0;
    std::uint64_t m_calls = 0;
    host m_entry;
    std::map<target_id, host> m_owners;
    std::map<link_id, host*> m_peers;
    std::map<host*, link_id> m_links;
};

} // namespace cornelpier::testing
