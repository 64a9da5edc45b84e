#pragma once

#include "cornelpier/base/units.hpp"
#include "cornelpier/message/traffic_messages.hpp"

#include <optional>

namespace cornelpier {

/// How long a permit is valid.
inline constexpr duration permit_lifetime = std::chrono::seconds{5};

/// What an owner makes of a permit that came with a message.
enum class permit_status {
    valid,
    expired,
    missing,
    not_issued, ///< Of another incarnation or never issued.
};

/// Issues permits and checks those that come back. Needs no memory: a permit names its incarnation and its
/// expiry on the owner's clock.
class permit_issuer {
  public:
    explicit permit_issuer(incarnation process) : m_process(process) {}

    /// @return a permit that is valid from now on.
    [[nodiscard]] run_permit issue(time_point now) const { return {m_process, now + permit_lifetime}; }

    /// @param claimed permit as received.
    /// @param now current time on the owner's clock.
    [[nodiscard]] permit_status check(const std::optional<run_permit>& claimed, time_point now) const;

  private:
    incarnation m_process;
};

} // namespace cornelpier
