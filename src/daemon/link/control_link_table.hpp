#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/message/control_messages.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cornelpier {

/// Which control link leads to which address, and what waits for it to open. Not thread-safe.
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

    /// @return the entry to the address, or nullptr.
    entry* find(const std::string& address);

    /// Adds a entry that is not open yet.
    entry& add(const std::string& address, link_id link);

    /// Marks a link as open.
    /// @return what waited for it.
    std::vector<control_message> mark_open(link_id link);

    /// Forgets a link; what waited for it is lost.
    void remove(link_id link);

    /// Forgets the links that were not used since the time.
    std::vector<link_id> remove_idle(clock::time_point since);

  private:
    std::map<std::string, entry> m_entries;
};

/// Control messages that wait for one link to open; more are dropped.
inline constexpr std::size_t max_pending_control_messages = 8;

} // namespace cornelpier
