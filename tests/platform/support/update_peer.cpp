#include "tests/platform/support/update_peer.hpp"

#include "tests/platform/support/source_documents.hpp"

#include <stdexcept>

namespace cornelpier::test {

namespace {

void ignore_event(const event_record& /*record*/) {}

} // namespace

update_peer::update_peer(boost::asio::io_context& context, const std::string& address)
    : m_links(context, {[](link_id) {}, [](link_id) {}, [](link_id, const traffic_message&) {},
                        [this](const control_message& it) { record(it); }, ignore_event}),
      m_socket(
          context, [this](const control_message& it, const std::string&) { record(it); }, ignore_event) {
    const std::string own = endpoint(address, source_node_port);
    if (!m_links.bind(own).reason.empty() || !m_socket.bind(own).reason.empty()) {
        throw std::runtime_error("cannot bind " + own);
    }
    m_links.start();
    m_socket.start();
}

void update_peer::send(const std::string& node, const source_update& update) {
    m_links.send_control(endpoint(node, source_node_port), update);
}

void update_peer::stop() {
    m_socket.stop();
    m_links.stop();
}

std::vector<source_update> update_peer::received() const {
    const std::lock_guard lock(m_mutex);
    return m_received;
}

void update_peer::record(const control_message& message) {
    if (const auto* update = std::get_if<source_update>(&message)) {
        const std::lock_guard lock(m_mutex);
        m_received.push_back(*update);
    }
}

} // namespace cornelpier::test
