#pragma once

#include "daemon/memory/byte_budget.hpp"

#include <cstddef>
#include <memory>

namespace cornelpier {

/// Bytes taken from a budget; the destructor returns them. Not thread-safe, but may be destroyed on any
/// thread.
class byte_reservation {
  public:
    /// Without a budget; each size is granted.
    byte_reservation() = default;

    /// Holds nothing yet.
    byte_reservation(std::shared_ptr<byte_budget> budget, held_bytes kind);
    ~byte_reservation();

    byte_reservation(byte_reservation&& other) noexcept;
    byte_reservation& operator=(byte_reservation&& other) noexcept;
    byte_reservation(const byte_reservation&) = delete;
    byte_reservation& operator=(const byte_reservation&) = delete;

    /// Changes the size. A smaller size is always granted.
    /// @return false if there is no room; the size is unchanged then.
    [[nodiscard]] bool resize(std::size_t size);

    /// Changes the size without asking for room.
    void force_resize(std::size_t size);

    /// Returns all bytes.
    void release() { force_resize(0); }

    /// @return bytes held.
    [[nodiscard]] std::size_t size() const noexcept { return m_size; }

  private:
    std::shared_ptr<byte_budget> m_budget;
    held_bytes m_kind = held_bytes::heads;
    std::size_t m_size = 0;
};

} // namespace cornelpier
