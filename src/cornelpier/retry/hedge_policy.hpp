#pragma once

#include "cornelpier/base/units.hpp"
#include "cornelpier/retry/retry_budget.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace cornelpier {

/// Decides when a slow lookup is hedged, for one route of a service or for the whole service without routes.
class hedge_policy {
  public:
    hedge_policy();

    /// Records a call that may be hedged.
    void on_call() { m_budget.on_call(); }

    /// Records the time from sending a run to its answer. Must not be called for failures.
    void on_latency(duration latency);

    /// @return delay of the hedge: the 95th percentile of the latency. Nothing until enough answers were
    /// recorded.
    [[nodiscard]] std::optional<duration> delay() const;

    /// @return median latency. Nothing until enough answers were recorded.
    [[nodiscard]] std::optional<duration> median() const;

    /// Takes a token for one hedge.
    /// @return false if the hedges have reached their share of the calls.
    bool try_take() { return m_budget.try_take(); }

  private:
    static constexpr std::size_t bucket_count = 160;

    static std::size_t bucket_of(duration latency);
    static duration upper_bound_of(std::size_t bucket);
    void halve_counts();
    [[nodiscard]] std::optional<duration> quantile(double fraction) const;

    retry_budget m_budget;
    std::array<std::uint32_t, bucket_count> m_buckets{}; ///< Eight per doubling of the latency.
    std::uint32_t m_samples = 0;
};

} // namespace cornelpier
