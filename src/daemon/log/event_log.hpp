#pragma once

#include "cornelpier/base/event_record.hpp"
#include "cornelpier/base/ids.hpp"

#include "daemon/log/event_clock.hpp"
#include "daemon/log/event_formatter.hpp"
#include "daemon/log/recent_lines.hpp"

#include <functional>
#include <memory>

namespace cornelpier {

/// Receives the numbered events of the daemon's parts; callable on any thread.
using event_sink = std::function<void(const event_record&)>;

/// What a log needs to know.
struct log_options {
    log_format format = log_format::json;
    severity level = severity::info; ///< Events below are not written.
    target_id node;
    incarnation process;
    std::shared_ptr<event_clock> clock = std::make_shared<event_clock>(); ///< Stamps the lines.
    std::shared_ptr<recent_lines> recent = nullptr; ///< Also receives every line, unless null.
};

/// Writes numbered events to standard error as JSON lines or text. Thread-safe. A thread of its own does
/// the writing, so that a blocked reader of the output delays no decision; lines above the bound of its queue
/// are dropped.
class event_log {
  public:
    explicit event_log(const log_options& options);

    /// Writes what is queued.
    ~event_log();

    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;
    event_log(event_log&&) = delete;
    event_log& operator=(event_log&&) = delete;

    /// Writes an event unless its severity is too low or too many of its number came within the second.
    void write(const event_record& record);

    /// Writes the counts of events that were left out. To be called once per second.
    void write_suppressed_counts();

  private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace cornelpier
