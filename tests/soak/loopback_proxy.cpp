#include "tests/soak/loopback_proxy.hpp"

#include "tests/standins/http_service.hpp"

#include <utility>
#include <vector>

namespace cornelpier::soak {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Interval at which held bytes look whether the fault has gone.
constexpr std::chrono::milliseconds fault_check{5};

/// Larger than any message of the soak, so that one piece is one message as a rule.
constexpr std::size_t piece_size = 16 * 1024;

void sleep(asio::io_context& context, std::chrono::milliseconds time, asio::yield_context yield) {
    asio::steady_timer timer{context, time};
    timer.async_wait(yield);
}

} // namespace

struct loopback_proxy::session {
    explicit session(tcp::socket accepted) : front(std::move(accepted)), back(front.get_executor()) {}

    void reset() {
        error_code ignored;
        for (auto* it : {&front, &back}) {
            it->set_option(asio::socket_base::linger{true, 0}, ignored);
            it->close(ignored);
        }
    }

    tcp::socket front;
    tcp::socket back;
    bool muted = false;
};

loopback_proxy::loopback_proxy(asio::io_context& context, const std::string& front, const std::string& back)
    : m_context(context), m_acceptor(context, standins::parse_endpoint(front)),
      m_back(standins::parse_endpoint(back)) {
    asio::spawn(context, [this](asio::yield_context yield) { accept(yield); });
}

void loopback_proxy::reset_all() {
    for (const auto& it : m_sessions) {
        if (const auto open = it.lock()) {
            open->reset();
        }
    }
}

void loopback_proxy::mute_all() {
    for (const auto& it : m_sessions) {
        if (const auto open = it.lock()) {
            open->muted = true;
        }
    }
}

void loopback_proxy::accept(asio::yield_context yield) {
    while (true) {
        tcp::socket accepted{m_context};
        m_acceptor.async_accept(accepted, yield);
        auto it = std::make_shared<session>(std::move(accepted));
        m_sessions.remove_if([](const auto& other) { return other.expired(); });
        m_sessions.push_back(it);
        asio::spawn(m_context, [this, it](asio::yield_context yield) { connect(it, yield); });
    }
}

void loopback_proxy::connect(const std::shared_ptr<session>& it, asio::yield_context yield) {
    pass_faults(it, true, yield);
    error_code ec;
    it->back.async_connect(m_back, yield[ec]);
    if (ec) {
        it->reset();
        return;
    }
    it->front.set_option(tcp::no_delay{true}, ec);
    it->back.set_option(tcp::no_delay{true}, ec);
    asio::spawn(m_context, [this, it](asio::yield_context other) { pump(it, true, other); });
    pump(it, false, yield);
}

void loopback_proxy::pump(const std::shared_ptr<session>& it, bool there, asio::yield_context yield) {
    tcp::socket& from = there ? it->front : it->back;
    tcp::socket& to = there ? it->back : it->front;
    std::vector<char> buf(piece_size);
    while (true) {
        error_code ec;
        const auto n = from.async_read_some(asio::buffer(buf), yield[ec]);
        pass_faults(it, there, yield);
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

void loopback_proxy::pass_faults(const std::shared_ptr<session>& it, bool there, asio::yield_context yield) {
    if (m_fault.delay.count() > 0) {
        sleep(m_context, m_fault.delay, yield);
    }
    while (it->front.is_open() && (it->muted || (there ? m_fault.cut_there : m_fault.cut_back))) {
        sleep(m_context, fault_check, yield);
    }
}

} // namespace cornelpier::soak
