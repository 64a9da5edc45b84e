#pragma once

#include "cornelpier/base/result.hpp"
#include "cornelpier/timeline/hybrid_clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelpier {

/// Event of a process, parsed from a JSON log line.
struct timeline_event {
    hybrid_timestamp stamp;
    std::string wall; ///< Wall clock of the process, ISO 8601, UTC.
    std::string node;
    std::string process; ///< Incarnation, hexadecimal.
    std::uint64_t sequence = 0;
    std::string severity;
    int number = 0;
    std::string name;
    std::map<std::string, std::string> fields;
    std::uint64_t suppressed = 0; ///< Events of this number that the process suppressed.
};

/// Criteria of the events to select. An empty criterion matches every event.
struct timeline_filter {
    std::string request; ///< Value of the field `request`.
    std::string node;
    std::string event; ///< Number or name.
};

/// Parses a line of a node's JSON log.
result<timeline_event> parse_event(std::string_view line);

/// Events of all processes in causal order: by hybrid timestamp, then by node, process and sequence number.
class timeline {
  public:
    /// Adds the lines of a log. Invalid lines are counted; duplicate events are dropped.
    void add_lines(std::string_view text);

    /// @return the events that match the filter, in causal order.
    [[nodiscard]] std::vector<timeline_event> select(const timeline_filter& filter) const;

    /// @return the number of lines that could not be parsed as events.
    [[nodiscard]] std::size_t invalid_lines() const noexcept { return m_invalid_lines; }

  private:
    struct event_key {
        hybrid_timestamp stamp;
        std::string node;
        std::string process;
        std::uint64_t sequence = 0;

        friend auto operator<=>(const event_key&, const event_key&) = default;
    };

    std::map<event_key, timeline_event> m_events;
    std::size_t m_invalid_lines = 0;
};

/// @return the events as plain text, one line per event.
std::string to_text(const std::vector<timeline_event>& events);

/// @return the events as an HTML page without scripts, for 360 pixel wide screens.
std::string to_html(const std::vector<timeline_event>& events);

} // namespace cornelpier
