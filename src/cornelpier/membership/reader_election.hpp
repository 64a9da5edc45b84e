#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/membership/member.hpp"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace cornelpier {

/// Decides whether this node reads the platform's services for its data centre. The six members with the
/// highest rendezvous hash watch each other; the first three of them that are alive are the readers.
class reader_election {
  public:
    static constexpr std::size_t reader_count = 3;
    static constexpr std::size_t group_size = 6;

    /// A member of the group that was silent for this long is passed over. The group exchanges messages every
    /// second, of which a few may be lost.
    static constexpr duration failure_timeout = std::chrono::seconds{4};

    /// A member without a record this fresh is not in the group.
    static constexpr duration max_candidate_age = std::chrono::seconds{15};

    /// Time for the first answers after the node entered the group.
    static constexpr duration settle_time = std::chrono::seconds{1};

    reader_election(target_id self, data_centre_id data_centre)
        : m_self(std::move(self)), m_data_centre(std::move(data_centre)) {}

    /// Elects again.
    /// @param members all members; those of other data centres are passed over.
    void update(std::span<const member> members, time_point now);

    /// @return true if this node is a reader.
    [[nodiscard]] bool is_reader() const { return m_reader; }

    /// @return the other members of the group; empty if this node is not in it.
    [[nodiscard]] const std::vector<target_id>& group_peers() const { return m_group_peers; }

    /// Starts over, for instance after a pause: the ages of the others say nothing until they were heard.
    void reset() {
        m_reader = false;
        m_joined_group_at.reset();
    }

  private:
    target_id m_self;
    data_centre_id m_data_centre;
    std::optional<time_point> m_joined_group_at;
    bool m_reader = false;
    std::vector<target_id> m_group_peers;
};

} // namespace cornelpier
