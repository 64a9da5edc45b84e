#pragma once

#include "cornelpier/base/random_source.hpp"
#include "cornelpier/node/control_events.hpp"
#include "cornelpier/node/traffic_events.hpp"

#include "tests/support/event_queue.hpp"

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cornelpier::testing {

/// Index of a node in the order in which the nodes were added.
using node_index = std::size_t;

/// One-way delays.
struct network_settings {
    duration within_data_centre{100};
    duration between_data_centres{std::chrono::milliseconds{1}};
    duration caller_to_entry{std::chrono::milliseconds{3}};
};

/// Callbacks from the network to the nodes.
struct network_hooks {
    std::function<void(node_index, traffic_event)> deliver;
    std::function<void(node_index, control_message_received)> deliver_control;
    std::function<bool(node_index)> responsive; ///< Whether the process is running and not paused.
};

/// Simulates the links and datagrams between nodes. Links deliver in order. Messages sent while the two nodes
/// are partitioned or the link is silent are queued and delivered on recovery, as TCP retransmission does.
class fake_network {
  public:
    fake_network(event_queue& queue, network_settings settings, random_source random, network_hooks hooks);

    void add_node(const std::string& address, const data_centre_id& data_centre);

    /// @return the one-way delay between two nodes.
    [[nodiscard]] duration delay(node_index a, node_index b) const;
    [[nodiscard]] const network_settings& settings() const { return m_settings; }

    void open(node_index from, link_id link, const std::string& address);
    void close(node_index from, link_id link);
    void send(node_index from, link_id link, const traffic_message& message);

    /// Sends a control message, which is lost if the nodes are partitioned or the receiver has vanished.
    void send_datagram(node_index from, const std::string& address, const control_message& message);

    /// Ends the process at a node.
    /// @param notify_peers whether its links are closed; otherwise they go silent, as when a VM disappears.
    void end_process(node_index node, bool notify_peers);

    /// Starts a new process at the node's address.
    void start_process(node_index node);

    void partition(node_index a, node_index b);
    void heal(node_index a, node_index b);

    /// Makes the current links between two nodes silent, or restores them and delivers their held messages.
    void set_silent(node_index a, node_index b, bool value);

    /// Closes the current links between two nodes at both ends.
    void break_links(node_index a, node_index b);

    /// Delivers each link message between two nodes twice, the second time late and possibly out of order.
    void set_duplicating(node_index a, node_index b, bool value);

  private:
    struct connection {
        std::array<node_index, 2> nodes{}; ///< Index 0 is the side that opened the connection.
        std::array<link_id, 2> links{};
        std::array<time_point, 2> last_arrival{}; ///< Per receiving side, to deliver in order.
        std::vector<std::pair<std::size_t, traffic_event>> held_events;
        bool silent = false;
    };

    struct node {
        std::string address;
        data_centre_id data_centre;
        bool alive = true;
        bool vanished = false;
    };

    using shared_connection = std::shared_ptr<connection>;
    using node_pair = std::pair<node_index, node_index>;

    static node_pair ordered_pair(node_index a, node_index b) { return {std::min(a, b), std::max(a, b)}; }

    void complete_handshake(const shared_connection& conn);
    void transmit(const shared_connection& conn, std::size_t side, const traffic_event& event);
    void deliver(const shared_connection& conn, std::size_t side, const traffic_event& event);
    void flush_held_events(const shared_connection& conn);
    [[nodiscard]] bool is_blocked(const connection& conn) const;
    [[nodiscard]] bool is_unreachable(node_index a, node_index b) const;
    [[nodiscard]] std::vector<shared_connection> connections_between(node_index a, node_index b) const;

    event_queue& m_queue;
    network_settings m_settings;
    random_source m_random;
    network_hooks m_hooks;
    std::vector<node> m_nodes;
    std::map<std::string, node_index> m_addresses;
    std::map<std::pair<node_index, link_id>, shared_connection> m_links;
    std::set<node_pair> m_partitions;
    std::set<node_pair> m_duplicating_pairs;
    std::uint64_t m_next_accepted_link = std::uint64_t{1} << 62U;
};

} // namespace cornelpier::testing
