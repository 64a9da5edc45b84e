#include "daemon/server/server_check.hpp"

#include "daemon/server/server_exchange.hpp"

#include <utility>

namespace cornelpier {

using boost::asio::ip::tcp;
using boost::system::error_code;

server_check::server_check(const executor& strand, callback on_done)
    : m_strand(strand), m_on_done(std::move(on_done)), m_deadline(strand) {}

void server_check::start(const tcp::endpoint& server) {
    m_server = server;
    connect();
}

void server_check::connect() {
    ++m_connections;
    m_connected = false;
    m_socket = std::make_unique<tcp::socket>(m_strand);
    m_deadline.set(server_exchange::connect_timeout, shared_from_this(), &server_check::on_timeout);
    m_socket->async_connect(m_server, [self = shared_from_this()](error_code ec) { self->on_connected(ec); });
}

void server_check::on_connected(error_code ec) {
    if (!m_on_done) {
        return;
    }
    if (ec == boost::asio::error::connection_refused) {
        finish(server_presence::absent);
        return;
    }
    if (ec) {
        retry();
        return;
    }
    m_connected = true;
    m_deadline.set(observation_time, shared_from_this(), &server_check::on_timeout);
    m_socket->async_wait(tcp::socket::wait_read,
                         [self = shared_from_this()](error_code failure) { self->on_readable(failure); });
}

/// Nothing was sent, so that the connection is readable only if the server has closed it or sends unasked
/// bytes.
void server_check::on_readable(error_code ec) {
    if (!m_on_done || ec == boost::asio::error::operation_aborted) {
        return;
    }
    retry();
}

void server_check::retry() {
    if (m_connections == max_connections) {
        finish(server_presence::unknown);
        return;
    }
    connect();
}

void server_check::on_timeout() {
    if (!m_connected) {
        finish(server_presence::unknown);
        return;
    }
    error_code ec;
    m_socket->set_option(tcp::no_delay(true), ec);
    if (!ec) {
        m_socket->non_blocking(true, ec);
    }
    if (ec) {
        m_socket.reset();
    }
    finish(server_presence::listening);
}

void server_check::finish(server_presence presence) {
    const callback on_done = std::exchange(m_on_done, nullptr);
    if (!on_done) {
        return;
    }
    m_deadline.stop();
    if (presence != server_presence::listening) {
        m_socket.reset();
    } else if (m_socket) {
        error_code ec;
        m_socket->cancel(ec);
    }
    on_done(presence, std::move(m_socket));
}

} // namespace cornelpier
