#include "daemon/memory/allocator_settings.hpp"

#include <algorithm>
#include <malloc.h>

namespace cornelpier {

namespace {

constexpr int max_arenas = 2;
constexpr int mmap_threshold_bytes = 128 * 1024;
constexpr int trim_threshold_bytes = 256 * 1024;

} // namespace

/// A fixed mapping threshold keeps glibc from raising it to the size of the largest freed block, after which
/// large bodies would be carved from the heap and stay there behind small blocks. Each arena keeps its own
/// free memory, hence few arenas.
void configure_allocator() {
    mallopt(M_ARENA_MAX, max_arenas);
    mallopt(M_MMAP_THRESHOLD, mmap_threshold_bytes);
    mallopt(M_TRIM_THRESHOLD, trim_threshold_bytes);
}

bool trim_policy::update(std::size_t used, std::size_t peak) {
    m_peak = std::max({m_peak, used, peak});
    if (m_peak - used < min_decrease) {
        return false;
    }
    m_peak = used;
    return true;
}

void return_free_memory() {
    malloc_trim(0);
}

} // namespace cornelpier
