#pragma once

#include "cornelpier/base/units.hpp"
#include "cornelpier/membership/peer_selector.hpp"
#include "cornelpier/message/control_messages.hpp"

#include <optional>

namespace cornelpier {

/// Requests a newer plan from one peer at a time: a sheet can be a megabyte, and many peers advertise the
/// same one.
class plan_puller {
  public:
    /// Time after which another peer is asked.
    static constexpr duration response_timeout = std::chrono::seconds{1};

    /// Records that a peer advertises a newer plan.
    /// @return the peer if the plan is to be requested from it now.
    std::optional<peer> on_newer_plan(const plan_digest& digest, const peer& source, time_point now);

    /// @return the peer to ask next if the current one did not respond in time.
    std::optional<peer> poll(time_point now);

    /// Records that a plan came into force, which ends the request for it and for older ones.
    void on_plan_accepted(std::uint64_t version);

  private:
    std::optional<peer> request_from(const plan_digest& digest, const peer& source, time_point now);

    plan_digest m_requested;
    std::optional<time_point> m_requested_at;
    std::optional<peer> m_fallback;
};

} // namespace cornelpier
