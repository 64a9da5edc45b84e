#pragma once

#include "cornelpier/base/random_source.hpp"
#include "cornelpier/membership/member.hpp"
#include "cornelpier/membership/record_list.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <utility>
#include <vector>

namespace cornelpier {

/// Selects the records of a gossip message: recent changes first, then old records (to which the peer replies
/// with newer ones if it has them), then fresh records.
class record_selector {
  public:
    /// @param own_data_centre data centre whose records are refreshed more often, since the reader election
    /// uses them.
    explicit record_selector(data_centre_id own_data_centre) : m_data_centre(std::move(own_data_centre)) {}

    /// Fills a message that starts an exchange.
    /// @param records receives as many records as fit.
    void add_for_request(std::span<member> members, time_point now, random_source& random,
                         record_list& records);

    /// Fills a reply.
    /// @param request records of the request.
    /// @param find maps a target to one of the members, or to nullptr.
    template <typename Find>
    void add_for_reply(const std::vector<member_record>& request, Find find, std::span<member> members,
                       time_point now, random_source& random, record_list& records) {
        begin_message(members, now);
        for (const auto& it : request) {
            const member* existing = find(it.target);
            if (existing != nullptr && existing->has_record() &&
                existing->age(now) + min_age_gain <= it.age) {
                add(members[static_cast<std::size_t>(existing - members.data())], now, records);
            }
        }
        add_recent_changes(members, now, random, records);
        add_fresh_records(members, now, random, records);
    }

  private:
    using ranked_index = std::pair<duration, std::size_t>;

    /// A record that is newer than the peer's by less than this is not worth its bytes and is not sent.
    static constexpr duration min_age_gain = std::chrono::milliseconds{500};

    void begin_message(std::span<member> members, time_point now);
    bool add(member& chosen, time_point now, record_list& records) const;
    void refresh_candidates(std::span<const member> members, time_point now);
    void rank_members(std::span<const member> members, time_point now);
    void add_recent_changes(std::span<member> members, time_point now, random_source& random,
                            record_list& records);
    void add_old_records(std::span<member> members, time_point now, record_list& records);
    void add_fresh_records(std::span<member> members, time_point now, random_source& random,
                           record_list& records);

    data_centre_id m_data_centre;
    std::uint32_t m_message_number = 0; ///< Number of the message that is being built.

    // Ranking of the members, shared by all messages within a short time to avoid a pass over all members for
    // each.
    time_point m_ranked_at;
    std::size_t m_ranked_member_count = 0;
    std::vector<std::size_t> m_recently_changed;
    std::vector<ranked_index> m_old; ///< Oldest last.
    std::vector<ranked_index> m_fresh;
};

} // namespace cornelpier
