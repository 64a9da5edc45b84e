#pragma once

#include <cstddef>
#include <ctime>
#include <malloc.h>

namespace cornelpier::testing {

/// @return allocated bytes, both in the arena and in separately mapped blocks.
inline std::size_t heap_in_use() {
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// @return CPU time of the calling thread in microseconds.
inline double cpu_microseconds() {
    std::timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return 1e6 * static_cast<double>(now.tv_sec) + 1e-3 * static_cast<double>(now.tv_nsec);
}

} // namespace cornelpier::testing
