#pragma once

#include "cornelpier/base/units.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace cornelpier {

/// Learns how much longer runs take that start while the server is nearly full, and which concurrency brings
/// the most runs to an end. Answers servers that slow down before their slots are used up: there,
/// fewer runs at a time serve more.
///
/// A process that just started knows nothing of this and finds its server cold and callers returning, so that
/// it would learn at the worst moment: until it has learned, and for a while at most, it keeps to
/// the concurrency below which servers are rarely slowed.
class contention_meter {
  public:
    /// Notes a run that the server completed.
    /// @param running runs at the server when it started, itself included.
    /// @param slots of the server.
    /// @param took time at the server.
    /// @param expected time for a run of its route at the speed that the server told.
    void add(std::uint32_t running, std::uint32_t slots, duration took, duration expected);

    /// @return the concurrency with the highest throughput; `slots` while nothing speaks for less.
    [[nodiscard]] std::uint32_t best_limit(std::uint32_t slots) const;

    /// @return the same for a process of that age: less than `slots` while it is young and has not learned.
    [[nodiscard]] std::uint32_t best_limit(std::uint32_t slots, duration age) const;

    /// @return how much longer than on a quiet server a run takes at that occupancy, at least 1.
    [[nodiscard]] double slowdown(std::uint32_t running, std::uint32_t slots) const;

  private:
    static constexpr std::size_t bin_count = 10; ///< Of occupancy, a tenth each.

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
