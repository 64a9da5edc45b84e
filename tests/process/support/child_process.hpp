#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace cornelpier::test {

/// A program that a test started. It ends with the test, even if the test is killed.
class child_process {
  public:
    /// Starts a program.
    /// @param command path and arguments.
    /// @param output file that receives standard output and standard error.
    child_process(const std::vector<std::string>& command, const std::string& output);
    ~child_process();

    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&&) = delete;
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// Sends a signal to this process only.
    void send_signal(int number) const;

    /// @return the exit status, 128 + the signal that ended it, or nothing if it still runs after the time.
    std::optional<int> wait(std::chrono::milliseconds limit);

  private:
    pid_t m_pid = -1;
};

} // namespace cornelpier::test
