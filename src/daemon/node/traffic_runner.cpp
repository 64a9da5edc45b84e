#include "daemon/node/traffic_runner.hpp"

#include "daemon/net/clock.hpp"

#include <boost/asio/post.hpp>

#include <utility>

namespace cornelpier {

traffic_runner::traffic_runner(boost::asio::io_context& context_threads, node_identity identity,
                               std::uint64_t seed, traffic_outputs outputs)
    : m_strand(make_strand(context_threads)), m_timer(m_strand), m_outputs(std::move(outputs)),
      m_core(std::move(identity), seed, monotonic_now()) {}

void traffic_runner::post(traffic_event event) {
    boost::asio::post(m_strand, [this, event = std::move(event)] { handle(event); });
}

void traffic_runner::start() {
    boost::asio::post(m_strand, [this] { advance(); });
}

void traffic_runner::snapshot(std::function<void(traffic_snapshot)> on_taken) {
    boost::asio::post(m_strand, [this, on_taken = std::move(on_taken)] { on_taken(m_core.snapshot()); });
}

void traffic_runner::handle(const traffic_event& event) {
    m_core.handle(event, monotonic_now(), m_actions);
    carry_out();
}

void traffic_runner::advance() {
    m_core.advance(monotonic_now(), m_actions);
    carry_out();
}

void traffic_runner::carry_out() {
    for (auto& it : m_actions) {
        std::visit([this](auto& action) { execute(action); }, it);
    }
    m_actions.clear();
    report_state();
    arm_timer();
}

void traffic_runner::report_state() {
    const node_state state = m_core.snapshot().state;
    if (state != m_state) {
        m_state = state;
        m_outputs.state_changed(state);
    }
}

void traffic_runner::arm_timer() {
    const auto due = m_core.next_due();
    // A timer that fires early finds nothing to do and is set again; setting it later at each event would
    // cost more.
    if (!due || (m_armed && *m_armed <= *due)) {
        return;
    }
    m_armed = due;
    m_timer.expires_after(*due - monotonic_now());
    m_timer.async_wait([this](boost::system::error_code ec) {
        if (!ec) {
            m_armed.reset();
            advance();
        }
    });
}

} // namespace cornelpier
