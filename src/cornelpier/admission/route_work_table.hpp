#pragma once

#include "cornelpier/base/units.hpp"

#include <string>
#include <unordered_map>

namespace cornelpier {

/// Time that the requests of each route need at a server of normal speed. Services mix requests of 40 ms with
/// requests of 600 ms; with a single average, short requests would be refused because of long ones.
class route_work_table {
  public:
    /// Records a completed run.
    /// @param slowness slowness of the server when the run started; the recorded time is divided by it.
    void add(const std::string& route, duration took, double slowness);

    /// @param objective objective of the route, from which the work is estimated before the first run.
    /// @return expected time at a server of normal speed.
    [[nodiscard]] duration expected_work(const std::string& route, duration objective) const;

    /// @return mean over the runs of all routes; zero before the first run.
    [[nodiscard]] duration mean() const { return from_seconds(m_mean_seconds); }

  private:
    std::unordered_map<std::string, double> m_seconds;
    double m_mean_seconds = 0;
};

} // namespace cornelpier
