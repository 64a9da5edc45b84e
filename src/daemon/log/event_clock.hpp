#pragma once

#include "cornelpier/timeline/hybrid_clock.hpp"

#include <mutex>

namespace cornelpier {

/// The hybrid clock of a process, for log lines and messages. Thread-safe.
class event_clock {
  public:
    /// @return the stamp of an event or of a message that is being sent.
    hybrid_timestamp next();

    /// Takes the stamp of a received message into account.
    void merge(hybrid_timestamp received);

  private:
    std::mutex m_mutex;
    hybrid_clock m_clock;
};

} // namespace cornelpier
