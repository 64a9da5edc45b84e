#pragma once

#include "cornelpier/base/units.hpp"

#include <cstdint>

namespace cornelpier {

/// Adaptive limit on the runs in flight at the server, between 1 and the slots of the plan. It shrinks when
/// the service time rises well above its baseline and grows otherwise.
class concurrency_limit {
  public:
    /// @param slots upper bound and initial limit, at least 1.
    explicit concurrency_limit(std::uint32_t slots);

    /// Changes the upper bound. A limit equal to the old bound moves to the new one.
    void set_slots(std::uint32_t slots);

    /// Updates the limit after a run.
    /// @param average current service time.
    /// @param baseline service time without overload.
    /// @param in_flight runs at the server when this one ended, including this one.
    void update(duration average, duration baseline, std::uint32_t in_flight);

    /// @return the limit, at least 1.
    [[nodiscard]] std::uint32_t value() const;

  private:
    std::uint32_t m_slots;
    double m_limit;
};

} // namespace cornelpier
