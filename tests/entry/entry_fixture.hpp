#pragma once

#include "cornelpier/entry/entry_manager.hpp"

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cornelpier::test {

using std::chrono::milliseconds;

inline constexpr std::uint64_t owner_incarnation = 0x77;

/// @return a plan with one service `shop`, where GET requests are lookups and all others are orders.
inline std::shared_ptr<plan> make_plan(std::size_t targets) {
    auto result = std::make_shared<plan>();
    result->version = 3;
    service_plan service;
    service.id = service_id{"shop"};
    service.measuring = rate{0};
    service.rules.push_back({"GET", "/", true, request_class::urgent_lookup});
    for (std::size_t i = 1; i <= targets; ++i) {
        const std::string n = std::to_string(i);
        service.targets.push_back(
            {target_id{"shop-" + n}, vm_id{"vm-" + n}, data_centre_id{"dc-" + n}, "127.0.0.1:710" + n});
    }
    result->services.push_back(std::move(service));
    return result;
}

/// Runs an entry manager with simulated callers, owners and time.
class entry_fixture {
  public:
    explicit entry_fixture(std::size_t targets = 2, entry_options options = {})
        : current_plan(make_plan(targets)), entry(identity, timers, random_source{5}, std::move(options)) {
        entry.set_output(actions);
        publish();
    }

    void publish() {
        auto view = std::make_shared<fleet_view>();
        view->current_plan = current_plan;
        view->vm_states = vm_states;
        entry.on_fleet(view);
    }

    void advance(duration step) {
        // Stops at each due time, so that timers started by other timers fire on time.
        const time_point end = timers.now() + step;
        while (timers.next_due() && *timers.next_due() <= end) {
            timers.advance(*timers.next_due());
        }
        timers.advance(end);
    }

    call_id call(const std::string& method, std::optional<std::string> key = {}, std::uint32_t depth = 0) {
        call_arrived event;
        event.call = call_id{++last_call};
        event.service = service_id{"shop"};
        event.request.method = method;
        event.request.path = "/x";
        event.key = std::move(key);
        event.depth = depth;
        event.outer_retry = outer_retry;
        entry.on_call(event);
        return event.call;
    }

    /// Removes and returns all pending actions of one type, in order.
    template <typename Action>
    std::vector<Action> take() {
        std::vector<Action> result;
        std::erase_if(actions, [&](const traffic_action& it) {
            const auto* found = std::get_if<Action>(&it);
            if (found != nullptr) {
                result.push_back(*found);
            }
            return found != nullptr;
        });
        return result;
    }

    /// Removes and returns all sent messages of one type with their links.
    template <typename Message>
    std::vector<std::pair<link_id, Message>> sent() {
        std::vector<std::pair<link_id, Message>> result;
        std::erase_if(actions, [&](const traffic_action& it) {
            const auto* action = std::get_if<send_message>(&it);
            const auto* found = action == nullptr ? nullptr : std::get_if<Message>(&action->message);
            if (found != nullptr) {
                result.emplace_back(action->link, *found);
            }
            return found != nullptr;
        });
        return result;
    }

    std::size_t count(metric kind) {
        const auto all = take<record_metric>();
        return static_cast<std::size_t>(
            std::ranges::count_if(all, [kind](const record_metric& it) { return it.kind == kind; }));
    }

    /// Opens all requested links; each owner replies with `hello` and a reading.
    void open_links(std::uint64_t process = owner_incarnation) {
        for (const auto& it : take<open_link>()) {
            peers[it.link] = it.peer;
            entry.on_link_opened(it.link);
            entry.on_message(it.link, hello{it.peer, incarnation{process}, {}, 3});
            entry.on_message(it.link, load_of(it.peer, process));
        }
    }

    load_reading load_of(const target_id& target, std::uint64_t process = owner_incarnation) {
        load_reading result;
        result.target = target;
        result.limit = 10;
        result.service_time = milliseconds{5};
        result.uptime = uptime;
        result.permit = {incarnation{process}, timers.now() + std::chrono::seconds{5}};
        result.sequence = ++last_reading;
        return result;
    }

    void answer_run(const std::pair<link_id, run_request>& it, verdict outcome,
                    refusal reason = refusal::none, int status = 0) {
        run_response reply;
        reply.attempt = it.second.attempt;
        reply.outcome = outcome;
        reply.reason = reason;
        reply.load = load_of(peers[it.first]);
        if (status != 0) {
            reply.response = http_response{status, {}, make_body("body")};
        }
        entry.on_message(it.first, reply);
    }

    void send_fate(link_id link, const attempt_id& attempt, fate_outcome outcome) {
        entry.on_message(link, fate_reply{attempt, outcome, {}});
    }

    /// Makes a call with an order and opens the links that it needs.
    /// @return the run that is sent to the owner.
    std::pair<link_id, run_request> send_order(std::optional<std::string> key = {}) {
        call("POST", std::move(key));
        open_links();
        return sent<run_request>().at(0);
    }

    node_identity identity{target_id{"shop-9"},    incarnation{0xe1},  vm_id{"vm-9"},
                           data_centre_id{"dc-1"}, service_id{"shop"}, {}};
    timer_service timers{time_point{std::chrono::seconds{1000}}};
    traffic_actions actions;
    std::shared_ptr<plan> current_plan;
    std::unordered_map<target_id, vm_state> vm_states;
    std::unordered_map<link_id, target_id> peers;
    std::uint64_t last_call = 0;
    std::uint64_t last_reading = 0;
    duration uptime = std::chrono::seconds{100};
    bool outer_retry = false;
    entry_manager entry;
};

} // namespace cornelpier::test
