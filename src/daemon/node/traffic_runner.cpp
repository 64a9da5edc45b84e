#include "daemon/node/traffic_runner.hpp"

#include "daemon/net/clock.hpp"

#include <boost/asio/post.hpp>

#include <utility>

namespace cornelpier {

traffic_runner::traffic_runner(boost::asio::io_context& context_threads, node_identity identity,
                               std::uint64_t seed, traffic_outputs outputs)
    : m_strand(make_strand(context_threads)), m_timer(m_strand), m_outputs(std::move(outputs)),
      m_core(std::move(identity), seed, monotonic_now()), m_pause(m_strand, [this] { check_pause(); }) {}

void traffic_runner::post(traffic_event event) {
    boost::asio::post(m_strand, [this, event = std::move(event)] { handle(event); });
}

void traffic_runner::start() {
    boost::asio::post(m_strand, [this] {
        m_pause.start();
        advance();
    });
}

void traffic_runner::snapshot(std::function<void(traffic_snapshot)> on_taken) {
    boost::asio::post(m_strand, [this, on_taken = std::move(on_taken)] { on_taken(m_core.snapshot()); });
}

void traffic_runner::check_pause() {
    if (const auto gap = m_pause.check()) {
        m_core.handle(clock_gap{*gap}, monotonic_now(), m_actions);
        carry_out();
    }
}

void traffic_runner::handle(const traffic_event& event) {
    // Events that waited during a pause must not be handled before the core knows of it.
    check_pause();
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
            check_pause();
            advance();
        }
    });
}

} // namespace cornelpier
