#pragma once

#include "cornelpier/membership/reader_roles.hpp"

#include "daemon/gossip/gossip_socket.hpp"
#include "daemon/link/link_manager.hpp"
#include "platform/store_fleet_source.hpp"
#include "tests/standins/store_standin.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cornelpier::test {

/// Time within which changes must take effect, as the platform's settings state it.
inline constexpr std::chrono::milliseconds propagation_limit{2500};

/// Data centre of all nodes.
inline constexpr const char* test_data_centre = "z";

/// @return the entry of a node's server in the store.
std::string source_entry(const std::string& node, const std::string& state);

/// @return key of the entry of a node's server.
std::string source_entry_key(const std::string& node);

/// @return the operator's configuration with one service.
std::string source_manifest(int version);

/// Loopback addresses of nodes, with the roles that all of them derive from this list.
struct source_members {
    std::vector<std::string> nodes;
    std::string reader;
    std::vector<std::string> relays;
};

/// @return the members and their roles.
source_members with_roles(std::vector<std::string> nodes);

/// @param accept selects the members by their roles.
/// @return the first accepted group of consecutive addresses.
source_members find_members(std::size_t count, const std::function<bool(const source_members&)>& accept);

/// A node's source of the fleet's state with the links to other nodes.
class source_node {
  public:
    source_node(boost::asio::io_context& context, const std::string& address, const std::string& store);

    /// Starts the source. Called on the thread of the context.
    void start();

    /// Stops the source and the links. Called on the thread of the context.
    void stop();

    /// @return state of a VM in the view that the source published last. Thread-safe.
    [[nodiscard]] vm_state state_of(const std::string& vm) const;

    /// @return version of the plan that the source published last, 0 if there is none. Thread-safe.
    [[nodiscard]] std::uint64_t plan_version() const;

  private:
    node_identity m_identity;
    std::string m_node_address;
    link_manager m_links;
    mutable std::mutex m_mutex;
    shared_fleet_view m_view;
    platform::store_fleet_source m_source;
};

/// Stands in for another node: records the updates it receives and sends those that the test makes up.
class update_peer {
  public:
    update_peer(boost::asio::io_context& context, const std::string& address);

    /// Sends an update on a link. Called on the thread of the context.
    void send(const std::string& node, const source_update& update);

    /// Closes the sockets. Called on the thread of the context.
    void stop();

    /// @return the updates received so far. Thread-safe.
    [[nodiscard]] std::vector<source_update> received() const;

  private:
    void record(const control_message& message);

    mutable std::mutex m_mutex;
    std::vector<source_update> m_received;
    link_manager m_links;
    gossip_socket m_socket;
};

/// A store, nodes and peers on loopback addresses, run by one thread.
class source_fleet {
  public:
    source_fleet();
    ~source_fleet();

    source_fleet(const source_fleet&) = delete;
    source_fleet& operator=(const source_fleet&) = delete;
    source_fleet(source_fleet&&) = delete;
    source_fleet& operator=(source_fleet&&) = delete;

    /// Writes a key of the store.
    void put(const std::string& key, const std::string& value);

    /// Deletes a key of the store.
    void remove(const std::string& key);

    /// Adds and starts a node.
    source_node& start_node(const std::string& address);

    /// Adds a peer.
    update_peer& add_peer(const std::string& address);

    /// Sends an update from a peer.
    void send(update_peer& from, const std::string& to, const source_update& update);

  private:
    void run(const std::function<void()>& function);

    boost::asio::io_context m_context{1};
    standins::store_standin m_store;
    std::vector<std::unique_ptr<source_node>> m_nodes;
    std::vector<std::unique_ptr<update_peer>> m_peers;
    std::thread m_thread;
};

} // namespace cornelpier::test
