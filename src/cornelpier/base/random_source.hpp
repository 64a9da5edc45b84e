#pragma once

#include <array>
#include <cstdint>

namespace cornelpier {

/// Seeded pseudo-random generator (xoshiro256**). The same seed gives the same numbers on every platform,
/// unlike the distributions of the standard library.
class random_source {
  public:
    explicit random_source(std::uint64_t seed);

    /// @return the next 64 random bits.
    std::uint64_t next();

    /// @param bound exclusive upper bound; must not be 0.
    /// @return a number in [0, bound).
    std::uint64_t below(std::uint64_t bound);

    /// @return a number in [0, 1).
    double unit();

    /// @param mean mean of the exponential distribution.
    /// @return an exponentially distributed number.
    double exponential(double mean);

    /// @return a generator whose numbers do not depend on how many this one gives later.
    random_source split();

  private:
    std::array<std::uint64_t, 4> m_state{};
};

} // namespace cornelpier
