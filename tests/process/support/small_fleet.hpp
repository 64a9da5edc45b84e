#pragma once

#include "tests/process/support/child_process.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cornelpier::test {

/// Stand-ins and nodes on loopback: `comenzi-1` and `comenzi-2` in two data centres, `atelier-1` in a third.
/// The destructor ends all processes and deletes the directory.
class small_fleet {
  public:
    /// Path prefix of requests that end the server that runs them.
    static constexpr const char* deadly_path = "/deadly";

    /// Starts all processes and waits until each node serves a lookup.
    /// @param service_ms mean service time of the servers.
    explicit small_fleet(const std::string& service_ms = "1");
    ~small_fleet();

    small_fleet(const small_fleet&) = delete;
    small_fleet& operator=(const small_fleet&) = delete;
    small_fleet(small_fleet&&) = delete;
    small_fleet& operator=(small_fleet&&) = delete;

    /// @return the address on which a node accepts callers.
    [[nodiscard]] std::string caller_address(const std::string& target) const;

    /// @return the port on which a node accepts links.
    [[nodiscard]] std::uint16_t link_port(const std::string& target) const;

    /// @return the address of a target's server.
    [[nodiscard]] std::string server_address(const std::string& target) const;

    /// @return the operator address of a node.
    [[nodiscard]] std::string operator_address(const std::string& target) const;

    /// @return the address of the platform stand-in.
    [[nodiscard]] std::string platform_address() const;

    /// @return the initial plan sheet with another version.
    /// @param trailing_space appended whitespace, which makes two sheets of one version differ.
    [[nodiscard]] std::string plan_sheet(int version, const std::string& trailing_space = {}) const;

    /// @return the path of the settings file of a node.
    [[nodiscard]] std::string settings_path(const std::string& target) const;

    /// @return the path of a file in the fleet's temporary directory.
    [[nodiscard]] std::string file_path(const std::string& name) const { return m_directory + "/" + name; }

    /// @return the process of a node.
    child_process& node(const std::string& target) { return m_nodes.at(target); }

    /// @return how often the servers of `comenzi` executed the request with this `X-Identity`.
    [[nodiscard]] int executions(const std::string& identity) const;

    /// Starts a node; kills it first if it is already running.
    /// @param data_limit_bytes see `child_process`.
    void start_node(const std::string& target, std::optional<std::size_t> data_limit_bytes = std::nullopt);

    /// Starts the server of a target that has ended.
    void start_server(const std::string& target);

    /// Waits until a node serves a lookup.
    /// @return false after 10 s.
    bool wait_until_serving(const std::string& target) const;

  private:
    [[nodiscard]] int port(const std::string& target, int kind) const;
    [[nodiscard]] std::string address(const std::string& target, int kind) const;
    void write_plan() const;
    void write_settings(const std::string& target) const;

    std::string m_directory;
    int m_first_port;
    std::string m_service_ms;
    std::vector<child_process> m_stand_ins;
    std::map<std::string, child_process> m_nodes;
};

} // namespace cornelpier::test
