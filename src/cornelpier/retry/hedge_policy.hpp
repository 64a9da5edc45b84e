#pragma once

#include "cornelpier/base/units.hpp"
#include "cornelpier/retry/retry_budget.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace cornelpier {

/// Says when a slow lookup of one service is sent a second time.
class hedge_policy {
  public:
    hedge_policy();

    /// Notes a call that may be hedged.
    void on_call() { m_budget.on_call(); }

    /// Notes the time from sending a run to its answer. Failures must not be passed.
    void on_latency(duration latency);

    /// @return time after which a lookup is sent again: the p95 of the service. Nothing until enough answers
    /// were seen.
    [[nodiscard]] std::optional<duration> delay() const;

    /// @return the median time to an answer. Nothing until enough answers were seen.
    [[nodiscard]] std::optional<duration> median() const;

    /// Takes a token for one hedge.
    /// @return false if hedges have reached their share of the calls.
    bool try_take() { return m_budget.try_take(); }

  private:
    static constexpr std::size_t bucket_count = 160;

    static std::size_t bucket_of(duration latency);
    static duration upper_bound_of(std::size_t bucket);
    void halve_counts();
    [[nodiscard]] std::optional<duration> quantile(double fraction) const;

    retry_budget m_budget;
    std::array<std::uint32_t, bucket_count> m_buckets{}; ///< Eight per power of two microseconds.
    std::uint32_t m_samples = 0;
};

} // namespace cornelpier
