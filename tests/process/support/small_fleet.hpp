#pragma once

#include "tests/process/support/child_process.hpp"

#include <map>
#include <string>
#include <vector>

namespace cornelpier::test {

/// Stand-ins and nodes on loopback: `comenzi-1` and `comenzi-2` in two data centres, `atelier-1` in a third.
/// Everything ends with the object.
class small_fleet {
  public:
    /// Starts everything and waits until each node passes a lookup on to a server.
    /// @param service_ms mean service time of the servers.
    explicit small_fleet(const std::string& service_ms = "1");
    ~small_fleet();

    small_fleet(const small_fleet&) = delete;
    small_fleet& operator=(const small_fleet&) = delete;
    small_fleet(small_fleet&&) = delete;
    small_fleet& operator=(small_fleet&&) = delete;

    /// @return the address for callers of a node.
    [[nodiscard]] std::string caller_address(const std::string& target) const;

    /// @return the address of a target's server.
    [[nodiscard]] std::string server_address(const std::string& target) const;

    /// @return the operators' address of a node.
    [[nodiscard]] std::string operator_address(const std::string& target) const;

    /// @return the address of the platform stand-in.
    [[nodiscard]] std::string platform_address() const;

    /// @return the plan sheet of the start under another version, with a trailing text to tell contents
    /// apart.
    [[nodiscard]] std::string plan_sheet(int version, const std::string& trailing_space = {}) const;

    /// @return the settings file of a node.
    [[nodiscard]] std::string settings_path(const std::string& target) const;

    /// @return a file of the fleet's own directory.
    [[nodiscard]] std::string file_path(const std::string& name) const { return m_directory + "/" + name; }

    /// @return the process of a node.
    child_process& node(const std::string& target) { return m_nodes.at(target); }

    /// @return how often the servers of `comenzi` executed the request with this `X-Identity`.
    [[nodiscard]] int executions(const std::string& identity) const;

    /// Starts a node, again if need be.
    void start_node(const std::string& target);

    /// Waits until a node passes a lookup on to a server.
    /// @return false after 10 s.
    bool wait_until_serving(const std::string& target) const;

  private:
    [[nodiscard]] std::string address(const std::string& target, int kind) const;
    void write_plan() const;
    void write_settings(const std::string& target) const;

    std::string m_directory;
    int m_first_port;
    std::vector<child_process> m_stand_ins;
    std::map<std::string, child_process> m_nodes;
};

} // namespace cornelpier::test
