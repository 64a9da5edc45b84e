#pragma once

#include "cornelpier/timeline/hybrid_clock.hpp"

#include <mutex>

namespace cornelpier {

/// Hybrid clock that a process shares between its log lines and its messages. Thread-safe.
class event_clock {
  public:
    /// @return a new timestamp for an event or an outgoing message.
    hybrid_timestamp next();

    /// Advances the clock past the timestamp of a received message.
    void merge(hybrid_timestamp received);

  private:
    std::mutex m_mutex;
    hybrid_clock m_clock;
};

} // namespace cornelpier
