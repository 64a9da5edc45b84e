#include "tests/soak/loopback_proxy.hpp"

#include "tests/standins/http_service.hpp"

#include <sys/socket.h>
#include <utility>
#include <vector>

namespace cornelpier::soak {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Interval at which blocked data polls for the end of the fault.
constexpr std::chrono::milliseconds fault_poll_interval{5};

/// Larger than any message of the soak, so that one read usually returns one whole message.
constexpr std::size_t chunk_size_bytes = 16 * 1024;

void sleep(asio::io_context& context, std::chrono::milliseconds time, asio::yield_context yield) {
    asio::steady_timer timer{context, time};
    timer.async_wait(yield);
}

} // namespace

struct loopback_proxy::session {
    explicit session(tcp::socket accepted) : client(std::move(accepted)), upstream(client.get_executor()) {}

    void reset() {
        error_code ignored;
        for (auto* it : {&client, &upstream}) {
            it->set_option(asio::socket_base::linger{true, 0}, ignored);
            it->close(ignored);
        }
    }

    tcp::socket client;
    tcp::socket upstream;
    bool stalled = false;
};

loopback_proxy::loopback_proxy(asio::io_context& context, const std::string& client,
                               const std::string& upstream)
    : m_context(context), m_acceptor(context, standins::parse_endpoint(client)),
      m_upstream(standins::parse_endpoint(upstream)) {
    asio::spawn(context, [this](asio::yield_context yield) { accept(yield); });
}

void loopback_proxy::reset_all() {
    for (const auto& it : m_sessions) {
        if (const auto open = it.lock()) {
            open->reset();
        }
    }
}

void loopback_proxy::set_refusing(bool value) {
    if (value == m_refusing) {
        return;
    }
    m_refusing = value;
    if (value) {
        // Closing would not do: processes that were started since have inherited the socket.
        ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
        return;
    }
    m_acceptor.listen();
}

void loopback_proxy::stall_all() {
    for (const auto& it : m_sessions) {
        if (const auto open = it.lock()) {
            open->stalled = true;
        }
    }
}

void loopback_proxy::accept(asio::yield_context yield) {
    while (true) {
        tcp::socket accepted{m_context};
        error_code ec;
        m_acceptor.async_accept(accepted, yield[ec]);
        if (ec) {
            sleep(m_context, fault_poll_interval, yield);
            continue;
        }
        auto it = std::make_shared<session>(std::move(accepted));
        m_sessions.remove_if([](const auto& other) { return other.expired(); });
        m_sessions.push_back(it);
        asio::spawn(m_context, [this, it](asio::yield_context yield) { connect(it, yield); });
    }
}

void loopback_proxy::connect(const std::shared_ptr<session>& it, asio::yield_context yield) {
    apply_fault(it, true, yield);
    error_code ec;
    it->upstream.async_connect(m_upstream, yield[ec]);
    if (ec) {
        it->reset();
        return;
    }
    it->client.set_option(tcp::no_delay{true}, ec);
    it->upstream.set_option(tcp::no_delay{true}, ec);
    asio::spawn(m_context, [this, it](asio::yield_context other) { forward(it, true, other); });
    forward(it, false, yield);
}

void loopback_proxy::forward(const std::shared_ptr<session>& it, bool to_server, asio::yield_context yield) {
    tcp::socket& from = to_server ? it->client : it->upstream;
    tcp::socket& to = to_server ? it->upstream : it->client;
    std::vector<char> buf(chunk_size_bytes);
    while (true) {
        error_code ec;
        const auto n = from.async_read_some(asio::buffer(buf), yield[ec]);
        apply_fault(it, to_server, yield);
        if (ec == asio::error::eof) {
            to.shutdown(tcp::socket::shutdown_send, ec);
            return;
        }
        if (!ec) {
            asio::async_write(to, asio::buffer(buf, n), yield[ec]);
        }
        if (ec) {
            it->reset();
            return;
        }
    }
}

void loopback_proxy::apply_fault(const std::shared_ptr<session>& it, bool to_server,
                                 asio::yield_context yield) {
    if (m_fault.delay.count() > 0) {
        sleep(m_context, m_fault.delay, yield);
    }
    while (it->client.is_open() &&
           (it->stalled || (to_server ? m_fault.block_to_server : m_fault.block_from_server))) {
        sleep(m_context, fault_poll_interval, yield);
    }
}

} // namespace cornelpier::soak
