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

/// One VM: the node process, its server, and the proxies between them, to the store and from other nodes.
struct soak_vm {
    std::optional<test::child_process> node;
    std::unique_ptr<soak_server> server;
    std::unique_ptr<loopback_proxy> link_proxy;   ///< Links from other nodes.
    std::unique_ptr<loopback_proxy> store_proxy;  ///< To the store.
    std::unique_ptr<loopback_proxy> server_proxy; ///< To the server.
    int restarts = 0;                             ///< Number of server replacements.
};

/// Nodes, servers and the store of a soak on loopback. Processes must be started and ended on the thread that
/// created the fleet; everything else runs on the thread of the io_context.
class soak_fleet {
  public:
    /// @param sidecar path of the sidecar program.
    /// @param directory for settings and logs; the fleet does not delete it.
    soak_fleet(boost::asio::io_context& context, invariant_checker& checker, std::string sidecar,
               std::filesystem::path directory, int vms, std::uint32_t seed);

    void start_node(int vm);

    /// Publishes the next version of the plan.
    void change_plan();

    /// Publishes the plan in force again, as after a restore of the store.
    void write_plan_again();

    /// Removes the store entry of the current server instance and registers a new instance in its place.
    void replace_server(int vm);

    /// Removes the store entry of the current server instance, which runs on.
    void remove_server_entry(int vm);

    /// Lets the store refuse the requests of a node.
    void refuse_store(int vm, standins::store_refusal refusal);

    /// Writes the store entry of a server.
    /// @param state name of the state in the store.
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
