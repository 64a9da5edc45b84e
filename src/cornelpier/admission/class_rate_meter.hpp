#pragma once

#include "cornelpier/base/units.hpp"
#include "cornelpier/plan/route.hpp"

#include <array>

namespace cornelpier {

/// Measures the rate of accepted runs by request class, as an exponentially weighted average.
class class_rate_meter {
  public:
    /// Records an accepted run.
    void on_accepted(request_class priority, time_point now);

    /// @return rate of the runs of classes that are served before this one.
    [[nodiscard]] rate more_urgent(request_class priority, time_point now) const;

    /// @return rate of the runs of all classes.
    [[nodiscard]] rate total(time_point now) const;

  private:
    struct average {
        double per_second = 0;
        time_point updated_at;
    };

    [[nodiscard]] static double decayed(const average& value, time_point now);

    std::array<average, static_cast<std::size_t>(least_urgent_class) + 1> m_classes;
};

} // namespace cornelpier
