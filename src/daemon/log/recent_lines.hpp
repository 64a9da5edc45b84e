#pragma once

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>

namespace cornelpier {

/// The latest log lines, kept for the operators' port because VMs have no disks. Thread-safe.
class recent_lines {
  public:
    /// @param capacity lines that are kept.
    explicit recent_lines(std::size_t capacity) : m_capacity(capacity) {}

    /// Adds a line without a line end and drops the oldest one above the capacity.
    void add(std::string line);

    /// @return all lines, oldest first, each with a line end.
    [[nodiscard]] std::string text() const;

  private:
    std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::deque<std::string> m_lines;
};

} // namespace cornelpier
