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

/// Who uses a link.
enum class link_use : std::uint8_t {
    core,     ///< Opened by the decision core.
    accepted, ///< Opened by another node.
    control,  ///< Opened by the shell for control messages.
};

/// The links of a node by id. Thread-safe.
class link_table {
  public:
    /// A link of the table.
    struct entry {
        link_use use = link_use::core;
        std::shared_ptr<link_channel> channel;
        bool carried_traffic = false; ///< The decision core knows the link.
    };

    /// Adds a link.
    void add(link_id link, entry value);

    /// @return a copy of the entry, or nothing if the link is gone.
    [[nodiscard]] std::optional<entry> find(link_id link) const;

    /// Notes that the decision core knows the link.
    void mark_carried_traffic(link_id link);

    /// Removes a link.
    /// @return its entry, or nothing if the link is gone.
    std::optional<entry> remove(link_id link);

    /// Removes all links.
    std::vector<entry> remove_all();

    /// @return how many links there are.
    [[nodiscard]] std::size_t size() const;

    /// @return an id for an accepted link.
    link_id next_accepted();

    /// @return an id for a control link.
    link_id next_control();

  private:
    mutable std::mutex m_mutex;
    std::unordered_map<link_id, entry> m_entries;
    std::uint64_t m_last_accepted = accepted_link_bit | (std::uint64_t{1} << 62U);
    std::uint64_t m_last_control = std::uint64_t{1} << 61U;
};

} // namespace cornelpier
