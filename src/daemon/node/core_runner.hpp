#pragma once

#include "cornelpier/node/traffic_events.hpp"

#include "daemon/net/clock.hpp"
#include "daemon/node/pause_monitor.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <concepts>
#include <functional>
#include <optional>
#include <utility>

namespace cornelpier {

/// A decision core: handles events at a given time and reports when it next has to be advanced.
template <typename Core, typename Event, typename Actions>
concept decision_core = requires(Core core, const Event& event, time_point now, Actions& actions) {
    core.handle(event, now, actions);
    core.advance(now, actions);
    { core.next_due() } -> std::same_as<std::optional<time_point>>;
};

/// Runs a decision core on one executor: passes it events, detected pauses and the time, and forwards its
/// actions.
/// @tparam Executor strand, or io_context that is run by one thread.
template <typename Core, typename Event, typename Actions, typename Executor>
requires decision_core<Core, Event, Actions>
class core_runner {
  public:
    /// @param executor must outlive the runner.
    /// @param core the core to run.
    /// @param execute_actions receives the actions of each event, in order; must not call the runner
    /// synchronously.
    core_runner(Executor& executor, Core core, std::function<void(Actions&)> execute_actions)
        : m_executor(executor), m_core(std::move(core)), m_execute_actions(std::move(execute_actions)),
          m_timer(executor), m_pause_monitor(executor, [this] { check_pause(); }) {}

    /// Posts an event to the core. May be called on any thread; events of one thread are handled in order.
    void post(Event event) {
        boost::asio::post(m_executor, [this, event = std::move(event)] {
            // The core must learn of a pause before it handles events that were queued during the pause.
            check_pause();
            handle(event);
        });
    }

    /// Starts the core's timers.
    void start() {
        boost::asio::post(m_executor, [this] {
            m_pause_monitor.start();
            advance();
        });
    }

    /// Calls a function with the core on its executor. May be called on any thread.
    template <typename Function>
    void inspect(Function function) {
        boost::asio::post(m_executor,
                          [this, function = std::move(function)] { function(std::as_const(m_core)); });
    }

    /// @return the core. Must be called on its executor.
    [[nodiscard]] const Core& core() const { return m_core; }

  private:
    void check_pause() {
        if (const auto gap = m_pause_monitor.check()) {
            handle(clock_gap{*gap});
        }
    }

    void handle(const Event& event) {
        m_core.handle(event, monotonic_now(), m_actions);
        execute_actions();
    }

    void advance() {
        m_core.advance(monotonic_now(), m_actions);
        execute_actions();
    }

    void execute_actions() {
        m_execute_actions(m_actions);
        m_actions.clear();
        arm_timer();
    }

    void arm_timer() {
        const auto due = m_core.next_due();
        // A timer that expires before the due time is rearmed. This is cheaper than postponing it at each
        // event.
        if (!due || (m_timer_due && *m_timer_due <= *due)) {
            return;
        }
        m_timer_due = due;
        m_timer.expires_after(*due - monotonic_now());
        m_timer.async_wait([this](boost::system::error_code ec) {
            if (!ec) {
                m_timer_due.reset();
                check_pause();
                advance();
            }
        });
    }

    Executor& m_executor;
    Core m_core;
    std::function<void(Actions&)> m_execute_actions;
    boost::asio::steady_timer m_timer;
    pause_monitor m_pause_monitor;
    Actions m_actions;
    std::optional<time_point> m_timer_due;
};

} // namespace cornelpier
