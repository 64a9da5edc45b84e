#pragma once

#include <chrono>
#include <cstdint>
#include <ratio>
#include <string>

namespace cornelpier {

/// Clock type of the core. It has no `now()`: the shell passes the time with each event.
struct monotonic_clock {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;
};

/// Time span in microseconds.
using duration = monotonic_clock::duration;

/// Point in time on the monotonic clock of one node, in microseconds. Not comparable across nodes.
using time_point = monotonic_clock::time_point;

constexpr double to_seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

/// @return the duration, truncated to microseconds.
constexpr duration from_seconds(double seconds) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

/// @return the duration times a factor, truncated to microseconds.
constexpr duration scale(duration value, double factor) {
    return duration{static_cast<duration::rep>(static_cast<double>(value.count()) * factor)};
}

/// @return the duration in whole milliseconds, as a log field.
inline std::string milliseconds_text(duration value) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

/// Events per second.
struct rate {
    double per_second = 0;

    friend bool operator==(const rate&, const rate&) = default;
};

/// @return events per second as a decimal number, as a log field.
std::string to_text(rate value);

} // namespace cornelpier
