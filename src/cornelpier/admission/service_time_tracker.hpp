#pragma once

#include "cornelpier/base/units.hpp"

namespace cornelpier {

/// Moving average and baseline of the time that the server needs for a run.
class service_time_tracker {
  public:
    /// Adds a completed run.
    /// @param error whether the answer is an error. Errors that are not slower than the average are ignored,
    /// so that a server that fails fast does not attract traffic.
    void add_completed(duration took, bool error);

    /// Adds a run that was abandoned or lost; its service time would have been longer.
    void add_incomplete(duration age);

    /// @return the moving average; zero before the first run.
    [[nodiscard]] duration average() const;

    /// @return service time without overload; zero before the first run.
    [[nodiscard]] duration baseline() const;

  private:
    void add(double microseconds);

    bool m_has_samples = false;
    double m_average_us = 0;
    double m_baseline_us = 0;
};

} // namespace cornelpier
