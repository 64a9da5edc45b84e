#pragma once

#include "cornelpier/base/units.hpp"

namespace cornelpier {

/// Moving average of the time that the server needs for a run.
class service_time_tracker {
  public:
    /// Adds a run that the server completed.
    /// @param error the server answered with an error. A faster error than usual is ignored, so that a
    /// server which fails fast does not look attractive.
    void add_completed(duration took, bool error);

    /// Adds a run that was given up on or lost; its real time would have been longer.
    void add_incomplete(duration age);

    /// @return the moving average; zero before the first run.
    [[nodiscard]] duration average() const;

    /// @return what a run takes when the server is not overloaded; zero before the first run.
    [[nodiscard]] duration baseline() const;

  private:
    void add(double microseconds);

    bool m_has_samples = false;
    double m_average_us = 0;
    double m_baseline_us = 0;
};

} // namespace cornelpier
