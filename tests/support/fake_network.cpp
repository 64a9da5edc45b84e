#include "tests/support/fake_network.hpp"

#include <algorithm>

namespace cornelpier::testing {

namespace {

constexpr duration connect_timeout{std::chrono::seconds{1}};
constexpr duration accept_retry_interval{std::chrono::milliseconds{10}};
constexpr duration max_duplicate_delay{std::chrono::milliseconds{50}};

} // namespace

fake_network::fake_network(event_queue& queue, network_settings settings, random_source random,
                           network_hooks hooks)
    : m_queue(queue), m_settings(settings), m_random(random), m_hooks(std::move(hooks)) {}

void fake_network::add_node(const std::string& address, const data_centre_id& data_centre) {
    m_addresses[address] = m_nodes.size();
    m_nodes.push_back({address, data_centre});
}

duration fake_network::delay(node_index a, node_index b) const {
    return m_nodes[a].data_centre == m_nodes[b].data_centre ? m_settings.within_data_centre
                                                            : m_settings.between_data_centres;
}

void fake_network::open(node_index from, link_id link, const std::string& address) {
    const auto peer = m_addresses.find(address);
    auto conn = std::make_shared<connection>();
    conn->nodes = {from, peer == m_addresses.end() ? from : peer->second};
    conn->links = {link, link_id{m_next_accepted_link++ | accepted_link_bit}};
    m_links[{from, link}] = conn;

    if (peer == m_addresses.end() || is_unreachable(from, conn->nodes[1])) {
        m_queue.call_after(connect_timeout, [this, conn] { deliver(conn, 0, link_closed{conn->links[0]}); });
        return;
    }
    // One round trip for the TCP handshake and one for the WebSocket handshake.
    m_queue.call_after(4 * delay(from, conn->nodes[1]), [this, conn] { complete_handshake(conn); });
}

void fake_network::complete_handshake(const shared_connection& conn) {
    const auto [from, peer] = conn->nodes;
    if (!m_links.contains({from, conn->links[0]})) {
        return;
    }
    if (!m_nodes[peer].alive) {
        deliver(conn, 0, link_closed{conn->links[0]});
        return;
    }
    if (is_unreachable(from, peer) || !m_hooks.responsive(peer)) {
        m_queue.call_after(accept_retry_interval, [this, conn] { complete_handshake(conn); });
        return;
    }
    m_links[{peer, conn->links[1]}] = conn;
    deliver(conn, 0, link_opened{conn->links[0]});
}

void fake_network::close(node_index from, link_id link) {
    const auto found = m_links.find({from, link});
    if (found == m_links.end()) {
        return;
    }
    const auto conn = found->second;
    m_links.erase(found);
    const std::size_t side = conn->links[0] == link && conn->nodes[0] == from ? 1 : 0;
    transmit(conn, side, link_closed{conn->links.at(side)});
}

void fake_network::send(node_index from, link_id link, const traffic_message& message) {
    const auto found = m_links.find({from, link});
    if (found == m_links.end()) {
        return;
    }
    const auto conn = found->second;
    const std::size_t side = conn->links[0] == link && conn->nodes[0] == from ? 1 : 0;
    const message_received event{conn->links.at(side), message};
    transmit(conn, side, event);

    if (m_duplicating_pairs.contains(ordered_pair(conn->nodes[0], conn->nodes[1]))) {
        const auto extra_delay = duration{static_cast<std::int64_t>(
            m_random.below(static_cast<std::uint64_t>(max_duplicate_delay.count())))};
        m_queue.call_after(delay(conn->nodes[0], conn->nodes[1]) + extra_delay,
                           [this, conn, side, event] { deliver(conn, side, event); });
    }
}

void fake_network::transmit(const shared_connection& conn, std::size_t side, const traffic_event& event) {
    if (is_blocked(*conn)) {
        conn->held_events.emplace_back(side, event);
        return;
    }
    auto& last = conn->last_arrival.at(side);
    last = std::max(last, m_queue.now() + delay(conn->nodes[0], conn->nodes[1]));
    m_queue.call_at(last, [this, conn, side, event] { deliver(conn, side, event); });
}

void fake_network::deliver(const shared_connection& conn, std::size_t side, const traffic_event& event) {
    const auto found = m_links.find({conn->nodes.at(side), conn->links.at(side)});
    if (found == m_links.end() || found->second != conn) {
        return;
    }
    if (std::holds_alternative<link_closed>(event)) {
        m_links.erase(found);
    }
    m_hooks.deliver(conn->nodes.at(side), event);
}

void fake_network::flush_held_events(const shared_connection& conn) {
    if (is_blocked(*conn)) {
        return;
    }
    for (const auto& [side, event] : std::exchange(conn->held_events, {})) {
        transmit(conn, side, event);
    }
}

void fake_network::send_datagram(node_index from, const std::string& address,
                                 const control_message& message) {
    const auto peer = m_addresses.find(address);
    if (peer == m_addresses.end() || is_unreachable(from, peer->second)) {
        return;
    }
    const control_message_received event{message, m_nodes[from].address};
    m_queue.call_after(delay(from, peer->second),
                       [this, to = peer->second, event] { m_hooks.deliver_control(to, event); });
}

void fake_network::end_process(node_index node, bool notify_peers) {
    m_nodes[node].alive = false;
    m_nodes[node].vanished = !notify_peers;
    std::vector<std::pair<node_index, link_id>> own_links;
    for (const auto& [key, conn] : m_links) {
        if (key.first == node) {
            own_links.push_back(key);
            conn->silent = conn->silent || !notify_peers;
        }
    }
    for (const auto& [owner, link] : own_links) {
        close(owner, link);
    }
}

void fake_network::start_process(node_index node) {
    // The new process answers segments of connections to the vanished one with a reset, which closes the
    // peers' links.
    for (node_index peer = 0; m_nodes[node].vanished && peer < m_nodes.size(); ++peer) {
        for (const auto& conn : connections_between(node, peer)) {
            const std::size_t side = conn->nodes[0] == node ? 1 : 0;
            m_queue.call_after(2 * delay(node, peer), [this, conn, side] {
                deliver(conn, side, link_closed{conn->links.at(side)});
            });
        }
    }
    m_nodes[node].alive = true;
    m_nodes[node].vanished = false;
}

void fake_network::partition(node_index a, node_index b) {
    m_partitions.insert(ordered_pair(a, b));
}

void fake_network::heal(node_index a, node_index b) {
    m_partitions.erase(ordered_pair(a, b));
    for (const auto& conn : connections_between(a, b)) {
        flush_held_events(conn);
    }
}

void fake_network::set_silent(node_index a, node_index b, bool value) {
    for (const auto& conn : connections_between(a, b)) {
        conn->silent = value;
        flush_held_events(conn);
    }
}

void fake_network::break_links(node_index a, node_index b) {
    for (const auto& conn : connections_between(a, b)) {
        for (const std::size_t side : {0U, 1U}) {
            const link_closed event{conn->links.at(side)};
            m_queue.call_after(delay(a, b), [this, conn, side, event] { deliver(conn, side, event); });
        }
    }
}

void fake_network::set_duplicating(node_index a, node_index b, bool value) {
    if (value) {
        m_duplicating_pairs.insert(ordered_pair(a, b));
    } else {
        m_duplicating_pairs.erase(ordered_pair(a, b));
    }
}

bool fake_network::is_blocked(const connection& conn) const {
    return conn.silent || m_partitions.contains(ordered_pair(conn.nodes[0], conn.nodes[1]));
}

bool fake_network::is_unreachable(node_index a, node_index b) const {
    return m_partitions.contains(ordered_pair(a, b)) || m_nodes[b].vanished;
}

std::vector<fake_network::shared_connection> fake_network::connections_between(node_index a,
                                                                               node_index b) const {
    std::vector<shared_connection> result;
    for (const auto& [key, conn] : m_links) {
        const bool found = ordered_pair(conn->nodes[0], conn->nodes[1]) == ordered_pair(a, b);
        if (found && std::ranges::find(result, conn) == result.end()) {
            result.push_back(conn);
        }
    }
    return result;
}

} // namespace cornelpier::testing
