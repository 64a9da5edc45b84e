#pragma once

#include "tests/process/support/child_process.hpp"
#include "tests/standins/store_standin.hpp"

#include <boost/asio/io_context.hpp>

#include <filesystem>
#include <string>
#include <thread>
#include <vector>

namespace cornelpier::test {

/// Store and two sidecars of one service on loopback. The destructor ends them.
class sidecar_pair {
  public:
    /// @param service of both VMs.
    /// @param manifest that the store holds.
    /// @param servers VMs whose servers the store lists, as instance `i-VM`.
    sidecar_pair(const std::string& service, const std::string& manifest, const std::vector<int>& servers);
    ~sidecar_pair();

    sidecar_pair(const sidecar_pair&) = delete;
    sidecar_pair& operator=(const sidecar_pair&) = delete;
    sidecar_pair(sidecar_pair&&) = delete;
    sidecar_pair& operator=(sidecar_pair&&) = delete;

    /// Ends the processes and the thread of the context. Must precede the end of stand-ins that use it.
    void stop();

    /// @return `IP:port` of a VM, for its callers, its server and its operators.
    static std::string caller_address(int vm);
    static std::string server_address(int vm);
    static std::string operator_address(int vm);

    [[nodiscard]] const child_process& node(int vm) const { return m_nodes.at(static_cast<std::size_t>(vm)); }

    /// Runs on its own thread; for stand-ins of servers.
    boost::asio::io_context& context() { return m_context; }

  private:
    void write_settings(int vm, const std::string& service) const;
    [[nodiscard]] std::string file(int vm) const { return m_directory / ("node-" + std::to_string(vm)); }

    boost::asio::io_context m_context{1};
    std::filesystem::path m_directory;
    standins::store_standin m_store;
    std::thread m_thread;
    std::vector<child_process> m_nodes;
};

} // namespace cornelpier::test
