/// Embeds the decision core in a program of one's own: one node that is entry and owner at once, a virtual
/// clock in place of the real one, and a function in place of the server. Prints the answer and its verdict.

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

    auto current = std::make_shared<plan>();
    current->version = 1;
    current->services = {service};

    auto view = std::make_shared<fleet_view>();
    view->current_plan = current;
    return view;
}

/// Carries out the actions of the core. A real shell would use sockets here.
class shell {
  public:
    explicit shell(traffic_core& core) : m_core(core) {}

    void handle(const traffic_event& event) {
        traffic_actions actions;
        m_core.handle(event, m_now, actions);
        for (const auto& it : actions) {
            perform(it);
        }
    }

    void run_for(duration length) {
        const time_point end = m_now + length;
        while (m_core.next_due() && *m_core.next_due() <= end) {
            m_now = std::max(m_now, *m_core.next_due());
            traffic_actions actions;
            m_core.advance(m_now, actions);
            for (const auto& it : actions) {
                perform(it);
            }
        }
        m_now = end;
    }

  private:
    void perform(const traffic_action& action) {
        if (const auto* start = std::get_if<start_run>(&action)) {
            m_now += std::chrono::milliseconds{3};
            handle(server_answered{start->run, {200, {}, make_body("hello from " + start->request.path)}});
        } else if (const auto* final = std::get_if<answer_caller>(&action)) {
            std::cout << final->response.status << ' ' << to_string(final->outcome) << ' '
                      << *final->response.body << '\n';
        }
    }

    traffic_core& m_core;
    time_point m_now{};
};

} // namespace

int main() {
    const target_id self{"greetings-1"};
    constexpr std::uint64_t seed = 1;
    traffic_core core{
        {self, incarnation{1}, vm_id{"vm-1"}, data_centre_id{"dc-1"}, service_id{"greetings"}, {}},
        seed,
        time_point{}};
    shell embedding{core};

    embedding.handle(fleet_changed{make_view(self)});
    call_arrived call;
    call.call = call_id{1};
    call.service = service_id{"greetings"};
    call.request = {"GET", "/world", {}, make_body()};
    embedding.handle(call);
    embedding.run_for(std::chrono::seconds{1});
}
