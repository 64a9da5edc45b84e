#pragma once

#include "tests/process/support/child_process.hpp"
#include "tests/soak/loopback_proxy.hpp"
#include "tests/soak/soak_server.hpp"
#include "tests/standins/store_standin.hpp"

#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cornelpier::soak {

/// One VM: its node as a process, its server, and proxies on the ways between them and to the store.
struct soak_vm {
    std::optional<test::child_process> node;
    std::unique_ptr<soak_server> server;
    std::unique_ptr<loopback_proxy> link_proxy;   ///< From other nodes.
    std::unique_ptr<loopback_proxy> store_proxy;  ///< To the store.
    std::unique_ptr<loopback_proxy> server_proxy; ///< To the server.
    int restarts = 0;                             ///< Of the server.
};

/// Nodes, servers and the store of a soak on loopback. Processes are started and ended on the thread that
/// made the fleet; all else belongs to the thread of the context.
class soak_fleet {
  public:
    /// @param sidecar path of the node's program.
    /// @param directory for settings and logs; it is left behind.
    soak_fleet(boost::asio::io_context& context, invariant_checker& checker, std::string sidecar,
               std::filesystem::path directory, int vms, std::uint32_t seed);

    void start_node(int vm);

    /// Publishes the next version of the plan.
    void change_plan();

    /// Puts another life of a server in the place of the one that runs: the old one leaves by plan.
    void replace_server(int vm);

    /// Writes the entry of a server.
    /// @param state as the platform calls it.
    void write_server_entry(int vm, const std::string& state);

    [[nodiscard]] std::string caller_address(int vm) const;
    [[nodiscard]] std::string readiness_address(int vm) const;

    std::vector<soak_vm> vms;
    standins::store_standin store;

  private:
    [[nodiscard]] std::string endpoint(int vm, int port) const;
    [[nodiscard]] std::filesystem::path settings_path(int vm) const;
    void write_settings(int vm) const;

    boost::asio::io_context& m_context;
    std::string m_sidecar;
    std::filesystem::path m_directory;
    int m_plan_version = 1;
};

} // namespace cornelpier::soak
