#pragma once

#include <atomic>
#include <cstddef>

namespace cornelpier {

/// Size limit of node messages, and the bytes of incomplete ones that all links of the process hold.
/// Thread-safe.
class assembly_budget {
  public:
    explicit assembly_budget(std::size_t limit) : m_limit(limit) {}

    /// Sets the limit on one message and on all incomplete messages together.
    void set_limit(std::size_t limit) { m_limit = limit; }

    [[nodiscard]] std::size_t limit() const { return m_limit; }

    /// Takes bytes unless that exceeds the limit.
    /// @return false if it does.
    bool take(std::size_t size) {
        // Not added and taken back, because another link would meanwhile find no room that there is.
        std::size_t used = m_in_use;
        while (used + size <= m_limit) {
            if (m_in_use.compare_exchange_weak(used, used + size)) {
                return true;
            }
        }
        return false;
    }

    /// Returns bytes that were taken.
    void give_back(std::size_t size) { m_in_use -= size; }

    [[nodiscard]] std::size_t in_use() const { return m_in_use; }

  private:
    std::atomic<std::size_t> m_limit;
    std::atomic<std::size_t> m_in_use = 0;
};

} // namespace cornelpier
