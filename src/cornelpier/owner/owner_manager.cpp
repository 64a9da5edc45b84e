#include "cornelpier/owner/owner_manager.hpp"

#include <unordered_map>
#include <utility>
#include <variant>

namespace cornelpier {

class owner_manager::implementation {
  public:
    implementation(const node_identity& identity, timer_service& timers)
        : m_identity(identity), m_timers(timers) {}

    void send(link_id link, traffic_message message) {
        m_output->emplace_back(send_message{link, std::move(message)});
    }

    reading make_reading() {
        reading load;
        load.target = m_identity.self;
        load.in_flight = static_cast<std::uint32_t>(m_runs.size());
        load.state = m_state;
        load.leave = {m_identity.process, m_timers.now() + std::chrono::seconds{5}};
        load.sequence = ++m_sequence;
        return load;
    }

    void start(link_id link, const run& message) {
        const run_id id{++m_last_run};
        m_runs.emplace(id, std::pair{link, message.attempt});
        m_output->emplace_back(start_run{id, message.request, !message.idempotent, message.remaining,
                                         message.depth, message.outer_retry});
    }

    void finish(run_id id, verdict outcome, std::optional<http_response> response) {
        const auto it = m_runs.find(id);
        if (it == m_runs.end()) {
            return;
        }
        const auto [link, attempt] = it->second;
        m_runs.erase(it);
        send(link, answer{attempt, outcome, refusal::none, std::move(response), {}, {}, make_reading()});
    }

    void receive(link_id link, const traffic_message& message) {
        if (std::holds_alternative<hello>(message)) {
            send(link, hello{m_identity.self, m_identity.process, m_identity.data_centre, 0});
            send(link, make_reading());
        } else if (std::holds_alternative<ping>(message)) {
            send(link, pong{});
        } else if (std::holds_alternative<permit_request>(message)) {
            send(link, permit_grant{make_reading().leave});
        } else if (const auto* it = std::get_if<run>(&message); it != nullptr) {
            start(link, *it);
        }
    }

    const node_identity& m_identity;
    timer_service& m_timers;
    traffic_actions* m_output = nullptr;
    node_state m_state = node_state::starting;
    std::unordered_map<run_id, std::pair<link_id, attempt_id>> m_runs;
    std::uint64_t m_last_run = 0;
    std::uint64_t m_sequence = 0;
};

owner_manager::owner_manager(const node_identity& identity, timer_service& timers, random_source /*random*/)
    : m_implementation(std::make_unique<implementation>(identity, timers)) {}

owner_manager::~owner_manager() = default;

void owner_manager::set_output(traffic_actions& actions) {
    m_implementation->m_output = &actions;
}

void owner_manager::on_link_closed(link_id /*link*/) {}

void owner_manager::on_message(link_id link, const traffic_message& message) {
    m_implementation->receive(link, message);
}

void owner_manager::on_server_answered(const server_answered& event) {
    const verdict outcome = event.response.status < 500 ? verdict::ran : verdict::unknown;
    m_implementation->finish(event.run, outcome, event.response);
}

void owner_manager::on_server_failed(const server_failed& event) {
    const bool proved = event.kind == server_failure::connect_failed;
    m_implementation->finish(event.run, proved ? verdict::not_run : verdict::unknown, std::nullopt);
}

void owner_manager::on_server_report(const server_report& /*event*/) {}
void owner_manager::on_server_report_failed() {}

void owner_manager::on_fleet(const shared_fleet_view& /*view*/) {
    m_implementation->m_state = node_state::serving;
}

void owner_manager::on_terminate() {
    m_implementation->m_state = node_state::stopped;
}

void owner_manager::on_pause() {}

node_state owner_manager::state() const {
    return m_implementation->m_state;
}

bool owner_manager::idle() const {
    return m_implementation->m_runs.empty();
}

void owner_manager::describe(traffic_snapshot& snapshot) const {
    snapshot.runs_at_server = m_implementation->m_runs.size();
}

} // namespace cornelpier
