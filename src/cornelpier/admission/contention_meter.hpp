#pragma once

#include "cornelpier/base/units.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace cornelpier {

/// Learns how much longer runs take that start while the server is nearly full, and which concurrency gives
/// the highest throughput. Some servers slow down before all slots are in use; they complete more runs with
/// fewer runs at a time.
///
/// A new node process has no samples, and its first ones would mislead, since its server is cold and callers
/// are returning. Until it has samples at high occupancy, and for a limited time, it uses a concurrency at
/// which servers rarely slow down.
class contention_meter {
  public:
    /// Records a completed run.
    /// @param running runs at the server when it started, including this one.
    /// @param slots slots of the server.
    /// @param took time at the server.
    /// @param expected expected time of a run of its route at the slowness that the server reported.
    void add(std::uint32_t running, std::uint32_t slots, duration took, duration expected);

    /// @return the concurrency with the highest throughput; `slots` unless a lower one has been seen to be
    /// better.
    [[nodiscard]] std::uint32_t best_limit(std::uint32_t slots) const;

    /// @return the same for a process of that age: less than `slots` while it is young and lacks samples.
    [[nodiscard]] std::uint32_t best_limit(std::uint32_t slots, duration age) const;

    /// @return factor by which a run takes longer at that occupancy than without contention, at least 1.
    [[nodiscard]] double slowdown(std::uint32_t running, std::uint32_t slots) const;

  private:
    static constexpr std::size_t bin_count = 10; ///< Each bin covers a tenth of the slots.

    struct bin {
        double ratio = 1;
        std::uint32_t samples = 0;
    };

    static std::size_t bin_of(std::uint32_t running, std::uint32_t slots);
    [[nodiscard]] double uncontended_ratio() const;
    [[nodiscard]] bool has_high_occupancy_samples(std::uint32_t slots) const;

    std::array<bin, bin_count> m_bins{};
};

} // namespace cornelpier
