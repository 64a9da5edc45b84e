#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/fleet/fleet_view.hpp"
#include "cornelpier/node/traffic_events.hpp"

#include "daemon/log/event_log.hpp"
#include "daemon/memory/byte_reservation.hpp"
#include "daemon/wire/wire_names.hpp"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace cornelpier {

class caller_session;

/// Smallest limit on the head of a request; a plan can only raise it.
inline constexpr std::size_t min_head_limit_bytes = std::size_t{16} * 1024;

/// Connections without progress that are closed at a time.
inline constexpr std::size_t max_closed_at_once = 64;

/// Time between two searches for connections without progress, which visit all connections.
inline constexpr std::chrono::milliseconds close_stalled_interval{20};

/// Listen address, limits and timeouts of the caller side.
struct caller_options {
    std::string address; ///< `IP:port` to listen on.
    std::size_t max_connections = 4096;
    std::chrono::milliseconds head_timeout{5000}; ///< Until the head is complete.
    /// From the head to the end of the body, and anew after each `caller_progress::step_bytes` of it.
    std::chrono::milliseconds body_timeout{10000};
    std::chrono::milliseconds write_timeout{10000}; ///< Without write progress, the caller is disconnected.
    std::chrono::milliseconds idle_timeout{60000};  ///< Without a request, the connection is closed.
    /// Time for requests in progress to finish after a shutdown has started.
    std::chrono::milliseconds stop_timeout{2000};
    wire_names names;
    service_id own_service;                        ///< Service of the VM on which the requests originate.
    std::shared_ptr<byte_budget> budget = nullptr; ///< Null: the bytes held for callers are not limited.
    /// Answers requests with large bodies from their head if the plan has no destination for them.
    bool refuse_from_head = false;
};

/// Receives calls, fate queries, disconnections of callers and the stop deadline; callable on any thread.
using caller_event_handler = std::function<void(traffic_event)>;

/// State shared by the sessions of a server. Thread-safe.
class caller_context {
  public:
    caller_context(caller_options options, caller_event_handler handler, event_sink sink);

    [[nodiscard]] const caller_options& options() const noexcept { return m_options; }

    /// Passes an event to the decision core.
    void report(traffic_event event) const { m_handler(std::move(event)); }

    /// Writes a log event.
    void log_event(const event_record& record) const { m_sink(record); }

    /// Registers an open connection.
    void add_session(const std::shared_ptr<caller_session>& session);

    /// Removes a closed connection.
    void remove_session(const caller_session* session);

    /// @return an empty reservation of the budget.
    [[nodiscard]] byte_reservation reservation(held_bytes kind) const { return {m_options.budget, kind}; }

    /// Closes the connections whose callers have made no progress for longest, at most
    /// `max_closed_at_once` and not more often than `close_stalled_interval`. Callable on any thread.
    void close_stalled_sessions();

    /// Sets the plan that requests are compared with before their body is read.
    void set_view(shared_fleet_view view);

    /// @return the view set last.
    [[nodiscard]] shared_fleet_view view() const;

    /// @return the open connections.
    [[nodiscard]] std::vector<std::shared_ptr<caller_session>> sessions() const;

    /// @return number of open connections.
    [[nodiscard]] std::size_t session_count() const;

    /// Registers a call of the session.
    /// @return the id of the call.
    call_id add_call(const std::shared_ptr<caller_session>& session);

    /// Removes a call.
    /// @return its session, or nullptr if the call was already removed or the session has ended.
    std::shared_ptr<caller_session> take_call(call_id call);

    /// Applies the plan's limits. They can raise the node's own limits on the head and on idle connections,
    /// not lower them; the limit on bodies replaces the default one.
    void set_limits(const caller_limits& limits);

    /// @return largest head of a request.
    [[nodiscard]] std::size_t max_head_bytes() const { return m_max_head_bytes; }

    /// @return largest body of a request.
    [[nodiscard]] std::size_t max_body_bytes() const { return m_max_body_bytes; }

    /// @return time after which a connection without a request is closed.
    [[nodiscard]] std::chrono::milliseconds idle_timeout() const {
        return std::chrono::milliseconds{m_idle_timeout_ms.load()};
    }

    /// Refuses all further requests with 503 instead of passing them to the decision core.
    void stop() { m_stopping = true; }

    /// @return whether `stop` was called.
    [[nodiscard]] bool stopping() const { return m_stopping; }

  private:
    caller_options m_options;
    caller_event_handler m_handler;
    event_sink m_sink;
    std::atomic<bool> m_stopping = false;
    std::atomic<std::size_t> m_max_head_bytes = min_head_limit_bytes;
    std::atomic<std::size_t> m_max_body_bytes = default_body_limit_bytes;
    std::atomic<std::chrono::milliseconds::rep> m_idle_timeout_ms;

    mutable std::mutex m_mutex;
    std::unordered_map<const caller_session*, std::weak_ptr<caller_session>> m_sessions;
    std::unordered_map<call_id, std::weak_ptr<caller_session>> m_calls;
    std::uint64_t m_last_call = 0;
    shared_fleet_view m_view;
    std::chrono::steady_clock::time_point m_stalled_closed_at;
};

} // namespace cornelpier
