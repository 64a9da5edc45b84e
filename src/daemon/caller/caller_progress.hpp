#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace cornelpier {

/// What a connection waits for.
enum class caller_wait : std::uint8_t {
    none,   ///< Nothing from its caller.
    action, ///< The rest of a request, or that a response is read.
    request ///< A further request.
};

/// Since when a connection waits for its caller. Written on the connection's strand, read on any thread.
class caller_progress {
  public:
    using clock = std::chrono::steady_clock;

    /// Time without progress after which a connection may be closed to make room for others. It exceeds the
    /// pauses of well-behaved callers, which send and read promptly.
    static constexpr std::chrono::milliseconds stall_time{1000};

    /// The same between two requests. Well-behaved callers reuse connections that were idle for up to 12 s.
    static constexpr std::chrono::milliseconds idle_stall_time{13000};

    /// Bytes of a body that count as progress. Fewer bytes do not extend any time limit.
    static constexpr std::size_t step_bytes = std::size_t{64} * 1024;

    /// Records what the connection waits for.
    void set_wait(caller_wait wait) { m_wait = wait; }

    /// Records progress.
    void advance(clock::time_point now = clock::now()) { m_last = now.time_since_epoch().count(); }

    /// @return whether the caller has made no progress for the time that applies.
    [[nodiscard]] bool stalled(clock::time_point now = clock::now()) const {
        const caller_wait wait = m_wait;
        const auto limit = wait == caller_wait::request ? idle_stall_time : stall_time;
        return wait != caller_wait::none && now - last() >= limit;
    }

    /// @return time of the last progress.
    [[nodiscard]] clock::time_point last() const { return clock::time_point{clock::duration{m_last.load()}}; }

  private:
    std::atomic<caller_wait> m_wait = caller_wait::none;
    std::atomic<clock::rep> m_last = clock::now().time_since_epoch().count();
};

} // namespace cornelpier
