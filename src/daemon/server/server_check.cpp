#include "daemon/server/server_check.hpp"

#include "daemon/server/server_exchange.hpp"

#include <utility>

namespace cornelpier {

using boost::asio::ip::tcp;
using boost::system::error_code;

server_check::server_check(const executor& strand, callback on_done)
    : m_socket(std::make_unique<tcp::socket>(strand)), m_on_done(std::move(on_done)), m_deadline(strand) {}

void server_check::start(const tcp::endpoint& server) {
    m_deadline.set(server_exchange::connect_timeout, shared_from_this(), &server_check::on_timeout);
    m_socket->async_connect(server, [self = shared_from_this()](error_code ec) { self->on_connected(ec); });
}

void server_check::on_connected(error_code ec) {
    if (ec) {
        const bool is_refused = ec == boost::asio::error::connection_refused;
        finish(is_refused ? server_presence::absent : server_presence::unknown);
        return;
    }
    m_socket->set_option(tcp::no_delay(true), ec);
    if (!ec) {
        m_socket->non_blocking(true, ec);
    }
    if (ec) {
        m_socket.reset();
    }
    finish(server_presence::listening);
}

void server_check::on_timeout() {
    finish(server_presence::unknown);
}

void server_check::finish(server_presence presence) {
    const callback on_done = std::exchange(m_on_done, nullptr);
    if (!on_done) {
        return;
    }
    m_deadline.stop();
    if (presence != server_presence::listening) {
        m_socket.reset();
    }
    on_done(presence, std::move(m_socket));
}

} // namespace cornelpier
