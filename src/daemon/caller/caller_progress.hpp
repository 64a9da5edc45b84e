#pragma once

#include <atomic>
#include <chrono>

namespace cornelpier {

/// Since when a connection waits for its caller: for the rest of a request, or until it reads a response.
/// Written on the connection's strand, read on any thread.
class caller_progress {
  public:
    using clock = std::chrono::steady_clock;

    /// Time without progress after which a connection may be closed to make room for others. It exceeds the
    /// pauses of well-behaved callers, which send and read promptly.
    static constexpr std::chrono::milliseconds stall_time{1000};

    /// Bytes of a body that count as progress. Fewer bytes do not extend any time limit.
    static constexpr std::size_t step_bytes = std::size_t{64} * 1024;

    /// Records that the connection waits for its caller, or no longer does.
    void set_waiting(bool waiting) { m_waiting = waiting; }

    /// Records progress.
    void advance(clock::time_point now = clock::now()) { m_last = now.time_since_epoch().count(); }

    /// @return whether the caller has made no progress for `stall_time`.
    [[nodiscard]] bool stalled(clock::time_point now = clock::now()) const {
        return m_waiting && now - last() >= stall_time;
    }

    /// @return time of the last progress.
    [[nodiscard]] clock::time_point last() const { return clock::time_point{clock::duration{m_last.load()}}; }

  private:
    std::atomic<bool> m_waiting = false;
    std::atomic<clock::rep> m_last = clock::now().time_since_epoch().count();
};

} // namespace cornelpier
