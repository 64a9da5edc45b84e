#pragma once

#include "cornelpier/base/units.hpp"
#include "cornelpier/base/verdict.hpp"

#include <cstdint>
#include <memory>

namespace cornelpier {

/// Counts and latency quantiles of the calls of the last minute, in slices of 10 s. Not thread-safe.
class latency_window {
  public:
    /// Quantiles and counts of one minute.
    struct summary {
        std::uint64_t ran = 0;
        std::uint64_t not_run = 0;
        std::uint64_t unknown = 0;
        duration p50{}; ///< Upper edge of the bucket, at most 12% above the true value.
        duration p99{};
    };

    latency_window();
    ~latency_window();

    latency_window(const latency_window&) = delete;
    latency_window& operator=(const latency_window&) = delete;
    latency_window(latency_window&&) noexcept;
    latency_window& operator=(latency_window&&) noexcept;

    /// Adds a call.
    /// @param latency from arrival to answer.
    /// @param now current time; never earlier than at the previous call.
    void add(verdict outcome, duration latency, time_point now);

    /// @return the summary of the last minute: the slice in progress and the five before it.
    [[nodiscard]] summary last_minute(time_point now) const;

  private:
    struct slice;
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace cornelpier
