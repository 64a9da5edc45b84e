#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <utility>

namespace cornelpier {

/// Share of one link in the bytes that wait to be sent on all links of the process. Returned on destruction.
class unsent_bytes {
  public:
    using counter = std::shared_ptr<std::atomic<std::size_t>>;

    /// @param total sum of all links.
    explicit unsent_bytes(counter total) : m_total(std::move(total)) {}
    ~unsent_bytes() { set(0); }

    unsent_bytes(const unsent_bytes&) = delete;
    unsent_bytes& operator=(const unsent_bytes&) = delete;
    unsent_bytes(unsent_bytes&&) = delete;
    unsent_bytes& operator=(unsent_bytes&&) = delete;

    /// Sets the share. Not thread-safe, unlike the total.
    void set(std::size_t size) {
        *m_total += size - m_size; // Unsigned arithmetic also subtracts.
        m_size = size;
    }

  private:
    counter m_total;
    std::size_t m_size = 0;
};

} // namespace cornelpier
