#pragma once

#include "cornelpier/base/units.hpp"
#include "cornelpier/membership/peer_selector.hpp"
#include "cornelpier/message/control_messages.hpp"

#include <optional>

namespace cornelpier {

/// Asks one peer at a time for a newer plan, since a sheet may be a megabyte and many peers offer the same.
class plan_puller {
  public:
    /// A peer that has not answered by then is given up on.
    static constexpr duration answer_limit = std::chrono::seconds{1};

    /// Notes that a peer has a newer plan.
    /// @return the peer if it is to be asked now.
    std::optional<peer> offer(const plan_digest& digest, const peer& source, time_point now);

    /// @return another peer to ask if the one asked did not answer in time.
    std::optional<peer> poll(time_point now);

    /// Notes that a plan came into force.
    void reached(std::uint64_t version);

  private:
    std::optional<peer> ask(const plan_digest& digest, const peer& source, time_point now);

    plan_digest m_wanted;
    std::optional<time_point> m_asked_at;
    std::optional<peer> m_alternate;
};

} // namespace cornelpier
