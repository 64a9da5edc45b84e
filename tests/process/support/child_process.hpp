#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace cornelpier::test {

/// Child process of a test. The kernel kills it when its parent dies, even if the test itself is killed.
class child_process {
  public:
    /// Starts a program.
    /// @param command path and arguments.
    /// @param output file that receives standard output and standard error.
    /// @param data_limit_bytes limit of the private writable memory of the process (RLIMIT_DATA); unset: as
    /// the test's own.
    child_process(const std::vector<std::string>& command, const std::string& output,
                  std::optional<std::size_t> data_limit_bytes = std::nullopt);
    ~child_process();

    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&&) = delete;
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// @return the process id; -1 once the process has been waited for.
    [[nodiscard]] pid_t id() const { return m_pid; }

    /// Sends a signal to this process only, not to its process group.
    void send_signal(int number) const;

    /// Waits until the process exits or the time limit expires.
    /// @return the exit status, 128 + the signal that ended it, or nothing if it is still running.
    std::optional<int> wait(std::chrono::milliseconds limit);

    /// @return the id of the process; -1 after it was waited for.
    [[nodiscard]] pid_t pid() const { return m_pid; }

  private:
    pid_t m_pid = -1;
};

} // namespace cornelpier::test
