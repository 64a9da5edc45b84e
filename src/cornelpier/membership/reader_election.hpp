#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/membership/member.hpp"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace cornelpier {

/// Elects the nodes that read the platform's services for a data centre. The six members with the highest
/// rendezvous hash form a group whose members monitor each other; the first three of them that are alive are
/// the readers.
class reader_election {
  public:
    static constexpr std::size_t reader_count = 3;
    static constexpr std::size_t group_size = 6;

    /// A group member is considered failed after this time without a record. Group members exchange a message
    /// every second, so that a few lost messages do not count as a failure.
    static constexpr duration failure_timeout = std::chrono::seconds{4};

    /// Members with an older record than this cannot be in the group.
    static constexpr duration max_candidate_age = std::chrono::seconds{15};

    /// Minimum time in the group before this node becomes a reader, so that the first replies can arrive.
    static constexpr duration settle_time = std::chrono::seconds{1};

    reader_election(target_id self, data_centre_id data_centre)
        : m_self(std::move(self)), m_data_centre(std::move(data_centre)) {}

    /// Repeats the election.
    /// @param members all members; those of other data centres are ignored.
    void update(std::span<const member> members, time_point now);

    /// @return true if this node is a reader.
    [[nodiscard]] bool is_reader() const { return m_reader; }

    /// @return the other members of the group; empty if this node is not in it.
    [[nodiscard]] const std::vector<target_id>& group_peers() const { return m_group_peers; }

    /// Gives up the reader role, for instance after a pause: records are out of date until peers reply.
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
