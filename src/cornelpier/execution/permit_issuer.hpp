#pragma once

#include "cornelpier/base/units.hpp"
#include "cornelpier/message/traffic_messages.hpp"

#include <optional>

namespace cornelpier {

/// Validity period of a permit.
inline constexpr duration permit_lifetime = std::chrono::seconds{5};

/// Result of checking the permit in a message.
enum class permit_status {
    valid,
    expired,
    missing,
    not_issued, ///< Of another incarnation, or expires too far ahead to have been issued.
};

/// Issues and checks permits. Stateless: a permit contains the owner's incarnation and its expiry on the
/// owner's clock.
class permit_issuer {
  public:
    explicit permit_issuer(incarnation process) : m_process(process) {}

    /// @return a permit that is valid for `permit_lifetime`.
    [[nodiscard]] run_permit issue(time_point now) const { return {m_process, now + permit_lifetime}; }

    /// @param claimed permit in the message, if any.
    /// @param now current time on the owner's clock.
    [[nodiscard]] permit_status check(const std::optional<run_permit>& claimed, time_point now) const;

  private:
    incarnation m_process;
};

} // namespace cornelpier
