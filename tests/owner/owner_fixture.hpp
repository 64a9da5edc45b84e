#pragma once

#include "cornelpier/owner/owner_manager.hpp"

#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace cornelpier::owner_test {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An owner with its timers. Collects the owner's actions and simulates the entries and the server.
class owner_fixture {
  public:
    owner_fixture() : owner(identity, timers, random_source{7}) {
        service.id = identity.service;
        service.slots = 2;
        service.measuring = rate{10};
        service.refusal_statuses = {503};
        service.targets = {target_plan{identity.self, identity.vm, identity.data_centre, "127.0.0.1:1"}};
        owner.set_output(actions);
    }

    /// Applies a new version of the plan with `service`.
    void publish(vm_state vm = vm_state::live) {
        auto sheet = std::make_shared<plan>();
        sheet->version = ++version;
        sheet->services = {service};
        sheet->evacuated_data_centres = evacuated;
        auto view = std::make_shared<fleet_view>();
        view->current_plan = sheet;
        view->vm_states[identity.self] = vm;
        owner.on_fleet(view);
    }

    void advance(duration by) { timers.advance(timers.now() + by); }

    [[nodiscard]] run_permit permit() const { return {identity.process, timers.now() + seconds{5}}; }

    [[nodiscard]] static attempt_id attempt(std::uint64_t sequence) { return {{entry, sequence}, 1}; }

    [[nodiscard]] run_request order(std::uint64_t sequence) const {
        run_request message;
        message.attempt = attempt(sequence);
        message.service = identity.service;
        message.request = {"POST", "/orders", {}, make_body("a")};
        message.permit = permit();
        message.remaining = seconds{2};
        message.plan_version = version;
        return message;
    }

    [[nodiscard]] run_request lookup(std::uint64_t sequence,
                                     request_class priority = request_class::urgent_lookup) const {
        run_request message = order(sequence);
        message.request = {"GET", "/", {}, make_body()};
        message.idempotent = true;
        message.permit.reset();
        message.priority = priority;
        return message;
    }

    void receive(const traffic_message& message) { owner.on_message(link, message); }

    /// Delivers a run.
    /// @return its id at the server if it was dispatched at once.
    std::optional<run_id> submit(const run_request& message) {
        receive(message);
        const auto started = take_actions<start_run>();
        return started.empty() ? std::nullopt : std::optional{started.back().run};
    }

    void respond(run_id id, int status = 200, std::string body = "ok") {
        owner.on_server_answered({id, {status, {}, make_body(std::move(body))}});
    }

    /// Removes and returns the actions of one type.
    template <typename Action>
    std::vector<Action> take_actions() {
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

    /// Removes the messages sent so far and returns those of one type.
    template <typename Message>
    std::vector<Message> take_sent() {
        std::vector<Message> result;
        for (const auto& it : take_actions<send_message>()) {
            if (const auto* found = std::get_if<Message>(&it.message); found != nullptr) {
                result.push_back(*found);
            }
        }
        return result;
    }

    /// Delivers a message and returns its only reply of one type; throws if there is none or more than one.
    template <typename Reply>
    Reply reply_to(const traffic_message& message) {
        take_sent<Reply>();
        receive(message);
        const auto replies = take_sent<Reply>();
        return replies.size() == 1 ? replies.front() : throw std::runtime_error("not one reply");
    }

    static inline const incarnation entry{77};
    static inline const link_id link{accepted_link_bit | 1U};
    static inline const link_id second_link{accepted_link_bit | 2U};

    node_identity identity{target_id{"t1"},       incarnation{5},        vm_id{"vm1"},
                           data_centre_id{"dc1"}, service_id{"comenzi"}, {}};
    timer_service timers{time_point{seconds{1000}}};
    service_plan service;
    std::vector<data_centre_id> evacuated; ///< Sorted.
    std::uint64_t version = 0;
    traffic_actions actions;
    owner_manager owner;
};

} // namespace cornelpier::owner_test
