#include "daemon/server/connection_pool.hpp"

#include <boost/asio/buffer.hpp>

#include <array>
#include <utility>

namespace cornelpier {

namespace {

/// @return false if the server has closed the connection or sent unsolicited bytes.
bool is_reusable(boost::asio::ip::tcp::socket& socket) {
    std::array<char, 1> byte{};
    boost::system::error_code ec;
    socket.receive(boost::asio::buffer(byte), boost::asio::socket_base::message_peek, ec);
    return ec == boost::asio::error::would_block;
}

} // namespace

connection_pool::socket_ptr connection_pool::acquire(bool fresh_only) {
    const auto now = clock::now();
    std::erase_if(m_idle, [&](const auto& it) { return now > it.expires_at; });

    while (!m_idle.empty()) {
        if (fresh_only && now - m_idle.back().idle_since > max_fresh_age) {
            return nullptr;
        }
        socket_ptr socket = std::move(m_idle.back().socket);
        m_idle.pop_back();
        if (is_reusable(*socket)) {
            return socket;
        }
    }
    return nullptr;
}

void connection_pool::release(socket_ptr socket, clock::duration idle_time) {
    if (m_idle.size() == max_idle_connections) {
        m_idle.erase(m_idle.begin());
    }
    const auto now = clock::now();
    m_idle.push_back({std::move(socket), now, now + idle_time});
}

} // namespace cornelpier
