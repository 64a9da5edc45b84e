#include "tests/process/support/child_process.hpp"

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace cornelpier::test {

namespace {

constexpr int signal_exit_status_base = 128;

[[noreturn]] void exec_program(std::vector<char*>& arguments, int output,
                               std::optional<std::size_t> data_limit_bytes) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (data_limit_bytes) {
        const rlimit limit{*data_limit_bytes, *data_limit_bytes};
        setrlimit(RLIMIT_DATA, &limit);
    }
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execv(arguments[0], arguments.data());
    _exit(signal_exit_status_base - 1);
}

} // namespace

child_process::child_process(const std::vector<std::string>& command, const std::string& output,
                             std::optional<std::size_t> data_limit_bytes) {
    std::vector<char*> arguments;
    for (const auto& it : command) {
        arguments.push_back(const_cast<char*>(it.c_str()));
    }
    arguments.push_back(nullptr);

    const int file = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    m_pid = fork();
    if (m_pid == 0) {
        exec_program(arguments, file, data_limit_bytes);
    }
    close(file);
}

child_process::~child_process() {
    if (m_pid > 0) {
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
}

child_process::child_process(child_process&& other) noexcept : m_pid(std::exchange(other.m_pid, -1)) {}

void child_process::send_signal(int number) const {
    if (m_pid > 0) {
        kill(m_pid, number);
    }
}

std::optional<int> child_process::wait(std::chrono::milliseconds limit) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (true) {
        int status = 0;
        if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_pid = -1;
            return WIFEXITED(status) ? WEXITSTATUS(status) : signal_exit_status_base + WTERMSIG(status);
        }
        if (std::chrono::steady_clock::now() >= end) {
            return std::nullopt;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{2});
    }
}

} // namespace cornelpier::test
