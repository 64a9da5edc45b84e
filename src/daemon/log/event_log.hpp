#pragma once

#include "cornelpier/base/event_record.hpp"
#include "cornelpier/base/ids.hpp"

#include "daemon/log/event_clock.hpp"
#include "daemon/log/event_formatter.hpp"
#include "daemon/log/recent_lines.hpp"

#include <functional>
#include <memory>

namespace cornelpier {

/// Receives the events of the daemon's components. Callable on any thread.
using event_sink = std::function<void(const event_record&)>;

struct log_options {
    log_format format = log_format::json;
    severity level = severity::info; ///< Less severe events are not written.
    target_id node;
    incarnation process;
    std::shared_ptr<event_clock> clock = std::make_shared<event_clock>(); ///< Source of the timestamps.
    std::shared_ptr<recent_lines> recent = nullptr; ///< Receives a copy of every line; may be null.
};

/// Writes events to standard output as JSON lines or text. Thread-safe. A separate thread writes the output,
/// so a blocked reader does not delay the callers. Lines are dropped while the bounded queue is full.
class event_log {
  public:
    explicit event_log(const log_options& options);

    /// Flushes the queued lines.
    ~event_log();

    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;
    event_log(event_log&&) = delete;
    event_log& operator=(event_log&&) = delete;

    /// Writes an event unless its severity is too low or the rate limit of its number is reached.
    void write(const event_record& record);

    /// Writes the counts of suppressed events. Must be called once per second.
    void write_suppressed_counts();

  private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace cornelpier
