#pragma once

#include "cornelpier/base/strong_id.hpp"

#include <chrono>
#include <cstdint>

namespace cornelpier {

/// Timestamp of a hybrid logical clock: wall time in milliseconds in the upper 44 bits, a counter in the
/// lower 20. The timestamp of a message is less than all timestamps that the receiver generates after merging
/// it.
using hybrid_timestamp = strong_id<struct hybrid_timestamp_tag, std::uint64_t>;

/// Hybrid logical clock: orders the events of several processes causally even if their wall clocks differ,
/// and stays close to wall time. Used for logs only; no decision depends on it. Not thread-safe.
class hybrid_clock {
  public:
    /// Milliseconds since 1970 on the wall clock, which may be adjusted in either direction.
    using wall_time = std::chrono::milliseconds;

    /// Received timestamps that are further ahead of the local wall clock are ignored, so that one wrong
    /// clock does not shift the timestamps of the whole fleet.
    static constexpr wall_time max_clock_lead = std::chrono::minutes{10};

    /// @return a timestamp for an event or an outgoing message, greater than all earlier ones.
    hybrid_timestamp next(wall_time now);

    /// Advances the clock past the timestamp of a received message.
    /// @param received timestamp set by the sender.
    /// @param now local wall time.
    void merge(hybrid_timestamp received, wall_time now);

  private:
    std::uint64_t m_last = 0;
};

/// @return the wall-time part of a timestamp.
hybrid_clock::wall_time wall_time_of(hybrid_timestamp stamp);

} // namespace cornelpier
