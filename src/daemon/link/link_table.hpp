#pragma once

#include "cornelpier/base/ids.hpp"

#include "daemon/link/link_channel.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cornelpier {

/// Purpose of a link.
enum class link_use : std::uint8_t {
    core,     ///< Opened by the traffic core.
    accepted, ///< Opened by another node.
    control,  ///< Opened by the link manager for control messages.
};

/// Links of a node by id. Thread-safe.
class link_table {
  public:
    struct entry {
        link_use use = link_use::core;
        std::shared_ptr<link_channel> channel;
        bool carried_traffic = false; ///< The traffic core has received a message on this accepted link.
    };

    void add(link_id link, entry value);

    /// @return a copy of the entry, or nothing if there is none.
    [[nodiscard]] std::optional<entry> find(link_id link) const;

    /// Marks an accepted link as known to the traffic core.
    void mark_carried_traffic(link_id link);

    /// @return the removed entry, or nothing if there is none.
    std::optional<entry> remove(link_id link);

    /// @return the removed entries.
    std::vector<entry> remove_all();

    /// @return number of links.
    [[nodiscard]] std::size_t size() const;

    /// @return bytes that are queued on all links.
    [[nodiscard]] std::size_t queued_bytes() const;

    /// @return an unused id for an accepted link.
    link_id next_accepted();

    /// @return an unused id for a control link.
    link_id next_control();

  private:
    mutable std::mutex m_mutex;
    std::unordered_map<link_id, entry> m_entries;
    std::uint64_t m_last_accepted = accepted_link_bit | (std::uint64_t{1} << 62U);
    std::uint64_t m_last_control = std::uint64_t{1} << 61U;
};

} // namespace cornelpier
