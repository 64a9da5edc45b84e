#pragma once

#include "cornelpier/base/units.hpp"

namespace cornelpier {

/// Recent share of runs that the server failed. Fades with time, so that a server which gets no runs because
/// of its failures is tried again.
class failure_meter {
  public:
    /// The server did not execute anything: it could not be reached.
    void on_unreachable(time_point now);

    /// The server answered with an error.
    void on_error(time_point now);

    /// The server answered without an error.
    void on_success(time_point now);

    /// @return the share, from 0 to 1.
    [[nodiscard]] double failure_rate(time_point now) const;

  private:
    void update(double new_rate, time_point now);

    double m_failure_rate = 0;
    time_point m_updated_at;
};

} // namespace cornelpier
