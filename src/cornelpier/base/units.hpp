#pragma once

#include <chrono>
#include <cstdint>
#include <ratio>
#include <string>

namespace cornelpier {

/// Clock of the decision core. It has no `now()`: the shell passes the time with each event.
struct monotonic_clock {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;
};

/// Length of time in microseconds.
using duration = monotonic_clock::duration;

/// Point on a node's own monotonic clock, in microseconds. Not comparable between nodes.
using time_point = monotonic_clock::time_point;

/// @return the length in seconds as a floating-point number.
constexpr double to_seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

/// @return the length for a number of seconds, truncated to microseconds.
constexpr duration from_seconds(double seconds) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

/// @return the length times a factor, truncated to microseconds.
constexpr duration scale(duration value, double factor) {
    return duration{static_cast<duration::rep>(static_cast<double>(value.count()) * factor)};
}

/// @return the length in whole milliseconds, for the log.
inline std::string milliseconds_text(duration value) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

/// Events per second.
struct rate {
    double per_second = 0;
};

} // namespace cornelpier
