#pragma once

#include "cornelpier/base/event_record.hpp"
#include "cornelpier/base/ids.hpp"
#include "cornelpier/base/units.hpp"
#include "cornelpier/timeline/hybrid_clock.hpp"

#include "daemon/settings/node_settings.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace cornelpier {

/// Contents of a log line.
struct log_entry {
    std::chrono::system_clock::time_point wall;
    time_point monotonic;
    hybrid_timestamp stamp;       ///< Orders the events of all processes.
    std::uint64_t sequence = 0;   ///< Incremented with each line of the process.
    std::uint64_t suppressed = 0; ///< Events of this number suppressed before this one.
    event_record record;
};

/// Formats log entries as single lines.
class event_formatter {
  public:
    /// @param process incarnation of the node.
    event_formatter(log_format format, target_id node, incarnation process);

    /// @return the line without a trailing newline. Invalid UTF-8 is replaced.
    [[nodiscard]] std::string format(const log_entry& entry) const;

  private:
    [[nodiscard]] std::string format_json(const log_entry& entry) const;
    [[nodiscard]] std::string format_text(const log_entry& entry) const;

    log_format m_format;
    target_id m_node;
    std::string m_incarnation;
};

} // namespace cornelpier
