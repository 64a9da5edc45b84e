/// Example of embedding the decision core in an application. A single node is both entry and owner, a virtual
/// clock replaces the system clock, and a function replaces the server. Prints the response and its verdict.

#include <algorithm>
#include <cornelpier/node/traffic_core.hpp>
#include <iostream>
#include <memory>
#include <string>

using namespace cornelpier;

namespace {

shared_fleet_view make_view(const target_id& target) {
    service_plan service;
    service.id = service_id{"greetings"};
    service.slots = 4;
    service.measuring = {10};
    service.rules = {{"GET", "/", true, request_class::urgent_lookup}};
    service.targets = {{target, vm_id{"vm-1"}, data_centre_id{"dc-1"}, "127.0.0.1:7101"}};

    auto new_plan = std::make_shared<plan>();
    new_plan->version = 1;
    new_plan->services = {service};

    auto view = std::make_shared<fleet_view>();
    view->current_plan = new_plan;
    return view;
}

/// Executes the actions of the core. An application would use sockets here.
class core_host {
  public:
    explicit core_host(traffic_core& core) : m_core(core) {}

    void handle(const traffic_event& event) {
        traffic_actions actions;
        m_core.handle(event, m_now, actions);
        for (const auto& action : actions) {
            execute(action);
        }
    }

    void run_for(duration length) {
        const time_point end = m_now + length;
        while (m_core.next_due() && *m_core.next_due() <= end) {
            m_now = std::max(m_now, *m_core.next_due());
            traffic_actions actions;
            m_core.advance(m_now, actions);
            for (const auto& action : actions) {
                execute(action);
            }
        }
        m_now = end;
    }

  private:
    void execute(const traffic_action& action) {
        if (const auto* start = std::get_if<start_run>(&action)) {
            m_now += std::chrono::milliseconds{3};
            handle(server_answered{start->run, {200, {}, make_body("hello from " + start->request.path)}});
        } else if (const auto* answer = std::get_if<answer_caller>(&action)) {
            std::cout << answer->response.status << ' ' << to_string(answer->outcome) << ' '
                      << *answer->response.body << '\n';
        }
    }

    traffic_core& m_core;
    time_point m_now{};
};

} // namespace

int main() {
    const target_id own_id{"greetings-1"};
    constexpr std::uint64_t seed = 1;
    traffic_core core{
        {own_id, incarnation{1}, vm_id{"vm-1"}, data_centre_id{"dc-1"}, service_id{"greetings"}, {}},
        seed,
        time_point{}};
    core_host host{core};

    host.handle(fleet_changed{make_view(own_id)});
    call_arrived call;
    call.call = call_id{1};
    call.service = service_id{"greetings"};
    call.request = {"GET", "/world", {}, make_body()};
    host.handle(call);
    host.run_for(std::chrono::seconds{1});
}
