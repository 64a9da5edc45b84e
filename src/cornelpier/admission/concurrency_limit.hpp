#pragma once

#include "cornelpier/base/units.hpp"

#include <cstdint>

namespace cornelpier {

/// How many runs the server gets at a time. Shrinks when the service time rises above its baseline and grows
/// while it does not, between 1 and the slots of the plan.
class concurrency_limit {
  public:
    /// @param slots upper bound, at least 1; the limit starts there.
    explicit concurrency_limit(std::uint32_t slots);

    /// Changes the upper bound. A limit at the old bound follows it up.
    void set_slots(std::uint32_t slots);

    /// Adapts the limit after a run.
    /// @param average service time now.
    /// @param baseline service time without overload.
    /// @param in_flight runs at the server when this one ended, itself included.
    void update(duration average, duration baseline, std::uint32_t in_flight);

    /// @return the limit, at least 1.
    [[nodiscard]] std::uint32_t value() const;

  private:
    std::uint32_t m_slots;
    double m_limit;
};

} // namespace cornelpier
