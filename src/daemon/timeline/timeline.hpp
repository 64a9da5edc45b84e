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

/// One event of one process, read from a JSON log line.
struct timeline_event {
    hybrid_timestamp stamp;
    std::string wall; ///< As the process saw it.
    std::string node;
    std::string process; ///< Incarnation, hexadecimal.
    std::uint64_t sequence = 0;
    std::string severity;
    int number = 0;
    std::string name;
    std::map<std::string, std::string> fields;
    std::uint64_t suppressed = 0; ///< Events of this number that the process did not write.
};

/// Which events to show; an empty criterion matches everything.
struct timeline_filter {
    std::string request; ///< Value of the field `request`.
    std::string node;
    std::string event; ///< Number or name.
};

/// Parses one line of a node's log in JSON form.
result<timeline_event> parse_event(std::string_view line);

/// Events of all processes in an order that respects cause: by stamp, within a process by sequence number.
class timeline {
  public:
    /// Adds the lines of a log. Lines that are not events are counted; repeated events are dropped.
    void add_lines(std::string_view text);

    /// @return the events that match, in order.
    [[nodiscard]] std::vector<timeline_event> select(const timeline_filter& filter) const;

    /// @return lines that were not events.
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

/// @return the events as text, one line each.
std::string to_text(const std::vector<timeline_event>& events);

/// @return the events as one HTML page without scripts for a screen of 360 pixels.
std::string to_html(const std::vector<timeline_event>& events);

} // namespace cornelpier
