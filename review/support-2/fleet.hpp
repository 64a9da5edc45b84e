#pragma once

#include "review/support-2/client.hpp"
#include "review/support-2/target_standin.hpp"
#include "tests/standins/store_standin.hpp"

#include <boost/asio.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

/// Result of a case, as its exit status.
enum class verdict { held = 0, broken = 1, cannot_run = 2 };

/// Route of the manifest; the host of all routes is `shop.example`.
struct route_row {
    std::string name;
    std::string path_prefix;
    std::string kind;
    std::string service;
    std::string timeout = "4000ms";
    std::string objective = "1500ms";
    int priority = 2;
    int max_attempts = 2;
};

/// VM with a node and its target.
struct vm_options {
    std::string service;
    std::string zone;
};

/// Settings of a fleet; the figures are those of the small deployments.
struct fleet_options {
    std::string sidecar;   ///< Program of the node.
    std::string directory; ///< For the settings and logs of the nodes.
    std::vector<vm_options> vms;
    std::vector<route_row> routes;
    int memory_mb = 260;
    std::size_t slots = 12;
    std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;
};

/// Nodes as separate processes, and their targets and store as stand-ins in this process. Destroying it ends
/// all processes.
class fleet {
  public:
    /// @param behaviour of the target of a VM.
    fleet(fleet_options options, std::function<target_behaviour(std::size_t vm)> behaviour);
    ~fleet();

    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    /// Starts all nodes.
    /// @return false if one is not ready within 20 s.
    bool start();

    /// Starts the node of a VM, also after its end.
    void start_node(std::size_t vm);
    void signal_node(std::size_t vm, int signal);

    /// @return whether the process of a node runs.
    bool lives(std::size_t vm);

    [[nodiscard]] bool is_ready(std::size_t vm) const;
    [[nodiscard]] std::string caller_address(std::size_t vm) const;
    [[nodiscard]] std::size_t size() const { return m_options.vms.size(); }
    [[nodiscard]] target_standin& target(std::size_t vm) { return *m_targets.at(vm); }
    [[nodiscard]] std::string instance(std::size_t vm) const { return "i-" + std::to_string(vm + 1); }
    [[nodiscard]] std::string text(std::size_t vm) const;

    /// @return resident memory of a node in MB; the peak if it is asked for.
    [[nodiscard]] double memory_mb(std::size_t vm, bool peak) const;

    /// From now on, does what the platform does to a process that exceeds the memory of its machine: kills it
    /// and starts it again 1 s later.
    /// @param on_killed gets the VM and the memory in MB, on another thread.
    void enforce_memory(std::function<void(std::size_t vm, double mb)> on_killed);

    /// Ends what `enforce_memory` began.
    void stop_enforcing();

    /// Calls a function on the thread of the store.
    void with_store(const std::function<void(cornelpier::standins::store_standin&)>& function);

    void put_manifest(int version);
    void put_target(std::size_t vm, const std::string& state);

  private:
    void watch_memory(const std::function<void(std::size_t, double)>& on_killed);
    [[nodiscard]] pid_t pid_of(std::size_t vm) const;
    [[nodiscard]] std::string endpoint(std::size_t vm, int port) const;
    [[nodiscard]] std::string settings_file(std::size_t vm) const;
    void write_settings(std::size_t vm) const;

    fleet_options m_options;
    std::string m_network; ///< First three numbers of the loopback addresses.
    boost::asio::io_context m_context{1};
    std::unique_ptr<cornelpier::standins::store_standin> m_store;
    std::vector<std::unique_ptr<target_standin>> m_targets;
    mutable std::mutex m_mutex;
    std::vector<pid_t> m_pids; ///< Guarded by the mutex.
    std::atomic<bool> m_enforcing = false;
    std::thread m_enforcer;
    int m_sequence = 0;
    std::thread m_thread;
};

/// Record of a case: what was sent, answered and run. Thread-safe.
class record {
  public:
    explicit record(const std::string& path);

    /// Adds a line with the time since the start.
    void add(const std::string& line);

  private:
    std::mutex m_mutex;
    std::ofstream m_file;
    steady::time_point m_start = steady::now();
};

/// Arguments of a case's program.
struct case_arguments {
    std::string sidecar;
    std::string directory;
    std::string record_path;
    bool trouble = true; ///< False with TROUBLE=0.
};

/// Reads the arguments, runs the case and returns its exit status.
int run_case(int argc, char** argv, const std::function<verdict(const case_arguments&)>& run);

/// @return text of a number with one decimal.
std::string decimal(double value);

} // namespace review
