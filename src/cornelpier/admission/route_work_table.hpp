#pragma once

#include "cornelpier/base/units.hpp"

#include <string>
#include <unordered_map>

namespace cornelpier {

/// Time that the requests of each route need at a server of usual speed. Services mix requests of 40 ms with
/// others of 600 ms, so that one average for all of them would refuse the short ones for the long ones' sake.
class route_work_table {
  public:
    /// Notes a run that the server completed.
    /// @param slowness of the server when the run began; its effect is taken out.
    void add(const std::string& route, duration took, double slowness);

    /// @param objective of the route, from which the time is guessed before the first run.
    /// @return expected time at a server of usual speed.
    [[nodiscard]] duration expected_work(const std::string& route, duration objective) const;

    /// @return mean over the runs of all routes; zero before the first run.
    [[nodiscard]] duration mean() const { return from_seconds(m_mean_seconds); }

  private:
    std::unordered_map<std::string, double> m_seconds;
    double m_mean_seconds = 0;
};

} // namespace cornelpier
