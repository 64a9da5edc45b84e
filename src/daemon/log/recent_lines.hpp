#pragma once

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>

namespace cornelpier {

/// Bounded buffer of the latest log lines. The operator address serves it, since VMs have no disks.
/// Thread-safe.
class recent_lines {
  public:
    /// @param capacity maximum number of lines.
    explicit recent_lines(std::size_t capacity) : m_capacity(capacity) {}

    /// Appends a line without a trailing newline; drops the oldest line if the buffer is full.
    void add(std::string line);

    /// @return all lines, oldest first, each with a trailing newline.
    [[nodiscard]] std::string text() const;

  private:
    std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::deque<std::string> m_lines;
};

} // namespace cornelpier
