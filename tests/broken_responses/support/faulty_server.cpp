#include "tests/broken_responses/support/faulty_server.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace cornelpier::test {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

/// Time from the end of a response to a late reset.
constexpr std::chrono::milliseconds reset_delay{50};

/// Reads and discards.
/// @param size bytes to read.
/// @return bytes that were read; fewer if the peer has closed the connection.
std::size_t discard(tcp::socket& socket, std::size_t size) {
    std::array<char, 64 * 1024> buf{};
    error_code ec;
    std::size_t done = 0;
    while (done < size && !ec) {
        done += socket.read_some(boost::asio::buffer(buf, std::min(size - done, buf.size())), ec);
    }
    return done;
}

/// Reads and discards what has arrived.
/// @return bytes that were read.
std::size_t drain(tcp::socket& socket) {
    error_code ec;
    std::size_t done = 0;
    while (const std::size_t size = socket.available(ec)) {
        done += discard(socket, size);
    }
    return done;
}

/// @return the announced length of the body, or 0.
std::size_t body_size(const std::string& head) {
    const std::string name = "content-length: ";
    const auto start = head.find(name);
    return start == std::string::npos ? 0 : std::stoul(head.substr(start + name.size()));
}

} // namespace

faulty_server::faulty_server(reply make_reply, const tcp::endpoint& endpoint)
    : m_make_reply(std::move(make_reply)), m_acceptor(m_context, endpoint) {
    address = endpoint.address().to_string() + ':' + std::to_string(m_acceptor.local_endpoint().port());
    m_accepting = std::thread([this] { accept(); });
}

faulty_server::~faulty_server() {
    m_stopping = true;
    tcp::socket wake(m_context);
    error_code ec;
    wake.connect(m_acceptor.local_endpoint(), ec);
    m_accepting.join();
    for (auto& it : m_connections) {
        it.thread.join();
    }
}

void faulty_server::accept() {
    while (true) {
        tcp::socket socket = m_acceptor.accept();
        if (m_stopping) {
            return;
        }
        join_ended();
        auto& it = m_connections.emplace_back();
        it.thread = std::thread([this, &it, peer = std::move(socket)]() mutable {
            serve(std::move(peer));
            it.ended = true;
        });
    }
}

void faulty_server::join_ended() {
    std::erase_if(m_connections, [](connection& it) {
        const bool ended = it.ended;
        if (ended) {
            it.thread.join();
        }
        return ended;
    });
}

void faulty_server::serve(tcp::socket socket) {
    std::string buf;
    error_code ec;
    while (true) {
        const auto end = boost::asio::read_until(socket, boost::asio::dynamic_buffer(buf), "\r\n\r\n", ec);
        if (ec) {
            return;
        }
        const std::string head = buf.substr(0, end);
        const std::size_t size = body_size(head);
        const faulty_response response = m_make_reply(head);
        std::size_t arrived = std::min(size, buf.size() - end);
        buf.erase(0, end + arrived);
        if (response.body_bytes_read > arrived) {
            arrived += discard(socket, response.body_bytes_read - arrived);
        }
        boost::asio::write(socket, boost::asio::buffer(response.bytes), ec);
        if (!end_connection(socket, response.end, size - arrived)) {
            return;
        }
    }
}

bool faulty_server::end_connection(tcp::socket& socket, connection_end end, std::size_t unread) {
    error_code ec;
    switch (end) {
    case connection_end::reset:
        socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
        break;
    case connection_end::close:
        break;
    case connection_end::drained_close:
        unread -= drain(socket);
        break;
    case connection_end::half_close:
        socket.shutdown(tcp::socket::shutdown_send, ec);
        unread -= discard(socket, unread);
        break;
    case connection_end::silent_half_close:
        socket.shutdown(tcp::socket::shutdown_send, ec);
        wait_until_stopping();
        break;
    case connection_end::late_reset:
        socket.shutdown(tcp::socket::shutdown_send, ec);
        std::this_thread::sleep_for(reset_delay);
        socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
        break;
    case connection_end::keep_open:
        discard(socket, unread);
        return true;
    }
    m_unread_bytes = unread;
    return false;
}

void faulty_server::wait_until_stopping() const {
    while (!m_stopping) {
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
}

} // namespace cornelpier::test
