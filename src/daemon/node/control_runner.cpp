#include "daemon/node/control_runner.hpp"

#include "daemon/net/clock.hpp"

#include <boost/asio/post.hpp>

#include <utility>

namespace cornelpier {

control_runner::control_runner(boost::asio::io_context& context, node_identity identity, std::uint64_t seed,
                               control_outputs outputs)
    : m_context(context), m_timer(context), m_outputs(std::move(outputs)),
      m_core(std::move(identity), seed, monotonic_now()), m_pause(context, [this] { check_pause(); }) {}

void control_runner::post(control_event event) {
    boost::asio::post(m_context, [this, event = std::move(event)] { handle(event); });
}

void control_runner::start() {
    boost::asio::post(m_context, [this] {
        m_pause.start();
        advance();
    });
}

void control_runner::snapshot(std::function<void(control_snapshot)> on_taken) {
    boost::asio::post(m_context,
                      [this, on_taken = std::move(on_taken)] { on_taken(m_core.snapshot(monotonic_now())); });
}

void control_runner::check_pause() {
    if (const auto gap = m_pause.check()) {
        m_core.handle(clock_gap{*gap}, monotonic_now(), m_actions);
        carry_out();
    }
}

void control_runner::handle(const control_event& event) {
    // Events that waited during a pause must not be handled before the core knows of it.
    check_pause();
    m_core.handle(event, monotonic_now(), m_actions);
    carry_out();
}

void control_runner::advance() {
    m_core.advance(monotonic_now(), m_actions);
    carry_out();
}

void control_runner::carry_out() {
    for (auto& it : m_actions) {
        std::visit([this](auto& action) { execute(action); }, it);
    }
    m_actions.clear();
    arm_timer();
}

void control_runner::execute(send_control& action) {
    if (std::holds_alternative<gossip>(action.message)) {
        m_outputs.gossip_messages.send(action.address, action.message);
        return;
    }
    m_outputs.links.send_control(action.address, std::move(action.message));
}

void control_runner::arm_timer() {
    const auto due = m_core.next_due();
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
