#pragma once

#include "tests/platform/support/source_documents.hpp"
#include "tests/platform/support/source_node.hpp"
#include "tests/platform/support/update_peer.hpp"
#include "tests/standins/store_standin.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace cornelpier::test {

/// A store, nodes and peers on loopback addresses, run by one thread.
class source_fleet {
  public:
    /// @param limit time within which changes must take effect at the nodes.
    explicit source_fleet(std::chrono::milliseconds limit = propagation_limit);
    ~source_fleet();

    source_fleet(const source_fleet&) = delete;
    source_fleet& operator=(const source_fleet&) = delete;
    source_fleet(source_fleet&&) = delete;
    source_fleet& operator=(source_fleet&&) = delete;

    /// Writes a key of the store.
    void put(const std::string& key, const std::string& value);

    /// Deletes a key of the store.
    void remove(const std::string& key);

    /// Registers the servers of nodes as ready.
    void register_all(const std::vector<std::string>& nodes);

    /// Lets the store refuse the requests of a node, which must have been added.
    void refuse(const std::string& node, standins::store_refusal refusal);

    /// Keeps a copy of the store.
    void save_copy();

    /// Returns the store to its copy and then writes keys, before any node reaches it again.
    void restore_copy(const std::vector<std::pair<std::string, std::string>>& written = {});

    /// @return the number of calls to the store so far.
    std::uint64_t store_calls();

    /// Adds and starts a node.
    /// @param refusal how the store refuses its requests from the start.
    source_node& start_node(const std::string& address,
                            standins::store_refusal refusal = standins::store_refusal::none);

    /// Adds a peer.
    update_peer& add_peer(const std::string& address);

    /// Sends an update from a peer.
    void send(update_peer& from, const std::string& to, const source_update& update);

  private:
    void run(const std::function<void()>& function);

    std::chrono::milliseconds m_propagation_limit;
    boost::asio::io_context m_context{1};
    standins::store_standin m_store;
    std::vector<std::unique_ptr<source_node>> m_nodes;
    std::vector<std::unique_ptr<update_peer>> m_peers;
    std::thread m_thread;
};

} // namespace cornelpier::test
