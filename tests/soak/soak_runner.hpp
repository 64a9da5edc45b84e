#pragma once

#include "tests/soak/fault_schedule.hpp"
#include "tests/soak/fault_tracker.hpp"
#include "tests/soak/invariant_checker.hpp"
#include "tests/soak/soak_callers.hpp"
#include "tests/soak/soak_fleet.hpp"

#include <chrono>
#include <filesystem>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace cornelpier::soak {

struct soak_options {
    std::uint32_t seed = 1;
    int vms = 4;
    int connections = 2; ///< Caller connections of each VM without extra load.
    std::chrono::milliseconds length{16000};
    bool verbose = false;
    std::string sidecar; ///< Path of the sidecar program.
    std::filesystem::path directory;
};

/// Runs a fault schedule against a fleet and checks the observations of callers and servers.
class soak_runner {
  public:
    explicit soak_runner(soak_options options);
    ~soak_runner();

    soak_runner(const soak_runner&) = delete;
    soak_runner& operator=(const soak_runner&) = delete;
    soak_runner(soak_runner&&) = delete;
    soak_runner& operator=(soak_runner&&) = delete;

    /// @return the violations, one line each.
    std::vector<std::string> run();

  private:
    using time_point = std::chrono::steady_clock::time_point;

    [[nodiscard]] int connection_count(int vm) const;
    void start_event(const fault_event& event);
    void inject_fault(const fault_event& event);
    void inject_link_fault(const fault_event& event);
    void run_planned_operation(const fault_event& event);
    void terminate(int vm);
    void replace_server(const fault_event& event);
    void change_plan();
    void take_store_down(const fault_event& event);
    void refuse_store(const fault_event& event);
    void restore_store(const fault_event& event);
    void send_deadly_requests();
    void crash_server(int vm);
    void write_entries_again();
    void restart_node(int vm);
    void run_due_actions(time_point until);
    void run_after(std::chrono::milliseconds after, std::function<void()> action);
    bool wait_until_ready(std::chrono::milliseconds limit);
    void check_recovery();

    /// Runs the action on the thread of the io_context and waits for it to finish.
    void on_context(const std::function<void()>& action);
    void log_event(const std::string& text) const;

    soak_options m_options;
    boost::asio::io_context m_context{1};
    invariant_checker m_checker;
    fault_tracker m_faults;
    deadly_tracker m_deadly;
    soak_fleet m_fleet;
    soak_callers m_callers;
    std::multimap<time_point, std::function<void()>> m_scheduled_actions;
    std::vector<bool> m_busy; ///< VMs whose node is being stopped, restarted or paused by an event.
    std::vector<bool> m_server_draining;
    int m_plan_version = 1;
    int m_deadly_requests = 0;
    bool m_store_busy = false;
    time_point m_started_at;
    std::thread m_thread;
};

} // namespace cornelpier::soak
