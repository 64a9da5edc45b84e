#include "daemon/net/clock.hpp"

#include <ctime>

namespace cornelpier {

namespace {

time_point read_clock(clockid_t id) {
    std::timespec value{};
    clock_gettime(id, &value);
    return time_point{std::chrono::duration_cast<duration>(std::chrono::seconds{value.tv_sec} +
                                                           std::chrono::nanoseconds{value.tv_nsec})};
}

} // namespace

time_point monotonic_now() {
    return read_clock(CLOCK_MONOTONIC);
}

time_point boot_now() {
    return read_clock(CLOCK_BOOTTIME);
}

} // namespace cornelpier
