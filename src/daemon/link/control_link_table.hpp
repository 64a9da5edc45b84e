#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/message/control_messages.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cornelpier {

/// Control links by peer address, with the messages that wait for a link to open. Not thread-safe.
class control_link_table {
  public:
    using clock = std::chrono::steady_clock;

    /// State of the link to an address.
    struct entry {
        link_id link;
        bool open = false;
        clock::time_point last_use;
        std::vector<control_message> pending_messages;
    };

    /// @return the entry of the address, or nullptr.
    entry* find(const std::string& address);

    /// Adds an entry for a link that is being opened.
    entry& add(const std::string& address, link_id link);

    /// Marks a link as open.
    /// @return its pending messages.
    std::vector<control_message> mark_open(link_id link);

    /// Removes a link and drops its pending messages.
    void remove(link_id link);

    /// Removes the links that have not been used since the given time.
    /// @return the removed links.
    std::vector<link_id> remove_idle(clock::time_point since);

  private:
    std::map<std::string, entry> m_entries;
};

/// Number of control messages that may wait for one link to open; further ones are dropped.
inline constexpr std::size_t max_pending_control_messages = 8;

} // namespace cornelpier
