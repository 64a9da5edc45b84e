#pragma once

#include "cornelpier/base/units.hpp"

namespace cornelpier {

/// Recent failure rate of the server. Decays with time, so that a server that gets no runs because of its
/// failures is tried again.
class failure_meter {
  public:
    /// Records that the server could not be reached and has not executed the run.
    void on_unreachable(time_point now);

    /// Records an error response.
    void on_error(time_point now);

    /// Records a response without an error.
    void on_success(time_point now);

    /// @return the failure rate, in [0, 1].
    [[nodiscard]] double failure_rate(time_point now) const;

  private:
    void update(double new_rate, time_point now);

    double m_failure_rate = 0;
    time_point m_updated_at;
};

} // namespace cornelpier
