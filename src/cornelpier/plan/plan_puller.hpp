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
    static constexpr duration response_timeout = std::chrono::seconds{1};

    /// Notes that a peer has a newer plan.
    /// @return the peer if it is to be asked now.
    std::optional<peer> on_newer_plan(const plan_digest& digest, const peer& source, time_point now);

    /// @return another peer to ask if the one asked did not answer in time.
    std::optional<peer> poll(time_point now);

    /// Notes that a plan came into force.
    void on_plan_accepted(std::uint64_t version);

  private:
    std::optional<peer> request_from(const plan_digest& digest, const peer& source, time_point now);

    plan_digest m_requested;
    std::optional<time_point> m_requested_at;
    std::optional<peer> m_fallback;
};

} // namespace cornelpier
