#pragma once

#include "cornelpier/base/units.hpp"
#include "cornelpier/base/verdict.hpp"

#include <cstdint>
#include <memory>

namespace cornelpier {

/// Sliding window of one minute, in slices of 10 s, over the verdicts and latencies of calls. Not
/// thread-safe.
class latency_window {
  public:
    /// Call counts by verdict and latency quantiles of one minute.
    struct summary {
        std::uint64_t ran = 0;
        std::uint64_t not_run = 0;
        std::uint64_t unknown = 0;
        duration p50{}; ///< Upper edge of the histogram bucket, at most 12% above the true value.
        duration p99{};
    };

    latency_window();
    ~latency_window();

    latency_window(const latency_window&) = delete;
    latency_window& operator=(const latency_window&) = delete;
    latency_window(latency_window&&) noexcept;
    latency_window& operator=(latency_window&&) noexcept;

    /// Records a call.
    /// @param latency time from the arrival of the call to its answer.
    /// @param now current time; never earlier than at the previous call.
    void add(verdict outcome, duration latency, time_point now);

    /// @return the summary of the current slice and the five before it.
    [[nodiscard]] summary last_minute(time_point now) const;

  private:
    struct slice;
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace cornelpier
