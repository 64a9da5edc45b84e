#pragma once

#include <array>
#include <cstdint>

namespace cornelpier {

/// Seeded pseudo-random generator (xoshiro256**). Equal seeds give equal sequences on all platforms, which
/// the distributions of the standard library do not guarantee.
class random_source {
  public:
    explicit random_source(std::uint64_t seed);

    /// @return 64 random bits.
    std::uint64_t next();

    /// @param bound exclusive upper bound; must not be 0.
    /// @return a uniformly distributed number in [0, bound).
    std::uint64_t below(std::uint64_t bound);

    /// @return a uniformly distributed number in [0, 1).
    double unit();

    /// @return an exponentially distributed number with the given mean.
    double exponential(double mean);

    /// @return a new generator, seeded from this one; its sequence does not depend on later use of this one.
    random_source split();

  private:
    std::array<std::uint64_t, 4> m_state{};
};

} // namespace cornelpier
