#pragma once

#include "tests/process/support/small_fleet.hpp"

#include <cstddef>
#include <optional>
#include <string>

namespace cornelpier::test {

/// A node of a small fleet that runs with a memory limit, and what the kernel reports about its process.
class limited_node {
  public:
    /// Starts the fleet, and the node again with the limit.
    /// @param memory_limit_mb value of the setting.
    /// @param data_limit_bytes see `child_process`.
    explicit limited_node(int memory_limit_mb, std::optional<std::size_t> data_limit_bytes = std::nullopt);

    /// @return address for callers.
    [[nodiscard]] std::string caller_address() const;

    /// @return address for operators.
    [[nodiscard]] std::string operator_address() const;

    /// @return whether the process has not ended.
    [[nodiscard]] bool lives();

    /// @return resident memory now, in bytes.
    [[nodiscard]] std::size_t resident_bytes() const;

    /// @return the most resident memory since the start of the process, in bytes.
    [[nodiscard]] std::size_t peak_resident_bytes() const;

    /// @return the number of open descriptors.
    [[nodiscard]] std::size_t descriptors() const;

    /// @return whether an ordinary lookup is answered with 200, on a new connection, in one of a few trials.
    [[nodiscard]] bool serves_lookup() const;

    /// @return whether the operator's page of the node's state is answered with 200, in one of a few trials.
    [[nodiscard]] bool serves_operator() const;

    /// @return whether the log contains the text.
    [[nodiscard]] bool log_contains(const std::string& text) const;

  private:
    [[nodiscard]] std::size_t status_bytes(const std::string& field) const;
    [[nodiscard]] std::string process_path(const std::string& name) const;

    small_fleet m_fleet;
    pid_t m_process = -1;
};

} // namespace cornelpier::test
