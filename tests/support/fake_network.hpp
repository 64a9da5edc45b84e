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

/// Position of a node in the fleet.
using node_index = std::size_t;

/// One-way delays.
struct network_settings {
    duration within_data_centre{100};                            ///< Inside a data centre.
    duration between_data_centres{std::chrono::milliseconds{1}}; ///< Between data centres.
    duration caller_to_entry{std::chrono::milliseconds{3}};
};

/// What the network needs from the nodes.
struct network_hooks {
    std::function<void(node_index, traffic_event)> deliver;
    std::function<void(node_index, control_message_received)> deliver_control;
    std::function<bool(node_index)> responsive; ///< The process lives and is not paused.
};

/// Node links and datagrams between nodes. A link delivers in order. While two nodes are cut off from each
/// other, or a link is silent, its messages are held and delivered late if it recovers, as TCP does.
class fake_network {
  public:
    fake_network(event_queue& queue, network_settings settings, random_source random, network_hooks hooks);

    void add_node(const std::string& address, const data_centre_id& data_centre);

    /// @return the one-way delay.
    [[nodiscard]] duration delay(node_index a, node_index b) const;
    [[nodiscard]] const network_settings& settings() const { return m_settings; }

    void open(node_index from, link_id link, const std::string& address);
    void close(node_index from, link_id link);
    void send(node_index from, link_id link, const traffic_message& message);

    /// Sends a control message; lost if the nodes are cut off.
    void send_datagram(node_index from, const std::string& address, const control_message& message);

    /// The process ended: its links break. Without `notice`, as when a VM vanishes, they go silent.
    void end_process(node_index node, bool notify_peers);

    /// A new process listens at the address.
    void start_process(node_index node);

    void partition(node_index a, node_index b);
    void heal(node_index a, node_index b);

    /// Makes the current links between two nodes silent, or lets them deliver what was held.
    void set_silent(node_index a, node_index b, bool value);

    /// Breaks the current links between two nodes.
    void break_links(node_index a, node_index b);

    /// Sends each message between two nodes twice, the second one late and out of order.
    void set_duplicating(node_index a, node_index b, bool value);

  private:
    struct connection {
        std::array<node_index, 2> nodes{}; ///< The opener first.
        std::array<link_id, 2> links{};
        std::array<time_point, 2> last_arrival{}; ///< Per receiving side; keeps the order.
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

    void complete_handshake(const shared_connection& it);
    void transmit(const shared_connection& it, std::size_t side, const traffic_event& event);
    void deliver(const shared_connection& it, std::size_t side, const traffic_event& event);
    void flush_held_events(const shared_connection& it);
    [[nodiscard]] bool is_blocked(const connection& it) const;
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
