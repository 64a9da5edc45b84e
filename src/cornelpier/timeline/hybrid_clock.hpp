#pragma once

#include "cornelpier/base/strong_id.hpp"

#include <chrono>
#include <cstdint>

namespace cornelpier {

/// Time stamp of a hybrid logical clock: wall time in milliseconds in the upper 44 bits, a counter in the
/// lower 20. The stamp of a message is always below every stamp that its receiver gives afterwards.
using hybrid_timestamp = strong_id<struct hybrid_timestamp_tag, std::uint64_t>;

/// Hybrid logical clock: orders events of several processes by cause although their wall clocks differ, and
/// stays close to wall time. Used for logs only; no decision depends on it. Not thread-safe.
class hybrid_clock {
  public:
    /// Milliseconds since 1970 on the wall clock, which may jump.
    using wall_time = std::chrono::milliseconds;

    /// Received stamps further ahead of the own wall clock are ignored, so that one broken clock does not
    /// move the stamps of the whole fleet.
    static constexpr wall_time max_clock_lead = std::chrono::minutes{10};

    /// @return the stamp of an event or of a message to be sent; greater than all stamps before.
    hybrid_timestamp next(wall_time now);

    /// Takes the stamp of a received message into account.
    /// @param received stamp that the sender put on the message.
    /// @param now own wall time.
    void merge(hybrid_timestamp received, wall_time now);

  private:
    std::uint64_t m_last = 0;
};

/// @return the wall-time part of a stamp, in milliseconds since 1970.
hybrid_clock::wall_time wall_time_of(hybrid_timestamp stamp);

} // namespace cornelpier
