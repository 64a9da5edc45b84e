#pragma once

#include <cstddef>

namespace cornelpier {

/// Configures the C library's allocator so that memory returns to the system when a burst is over. Must be
/// called before other threads start.
void configure_allocator();

/// Decides when to return free memory to the system: after the bytes held for others have become
/// considerably fewer.
class trim_policy {
  public:
    /// Smallest decrease of the use after which free memory is returned, in bytes. Returning it costs time
    /// in proportion to the heap.
    static constexpr std::size_t min_decrease = std::size_t{4} * 1024 * 1024;

    /// @param used bytes held for others now.
    /// @return whether to return memory now.
    /// @param peak most bytes held since the last call.
    [[nodiscard]] bool update(std::size_t used, std::size_t peak);

  private:
    std::size_t m_peak = 0; ///< Largest use since memory was returned.
};

/// Returns free memory to the system.
void return_free_memory();

} // namespace cornelpier
