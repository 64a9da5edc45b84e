#include "tests/daemon/support/stub_http_server.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace cornelpier::test {

using boost::asio::ip::tcp;

stub_http_server::stub_http_server(reply make_reply, std::string repeated_bytes)
    : m_make_reply(std::move(make_reply)), m_repeated_bytes(std::move(repeated_bytes)),
      m_acceptor(m_context, {boost::asio::ip::address_v4::loopback(), 0}) {
    address = "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    m_thread = std::thread([this] { run(); });
}

stub_http_server::~stub_http_server() {
    stopping = true;
    tcp::socket wake(m_context);
    boost::system::error_code ec;
    wake.connect(m_acceptor.local_endpoint(), ec);
    m_thread.join();
}

void stub_http_server::run() {
    while (true) {
        tcp::socket socket = m_acceptor.accept();
        if (stopping) {
            return;
        }
        ++connections;
        serve(socket);
    }
}

void stub_http_server::serve(tcp::socket& socket) {
    std::string buf;
    boost::system::error_code ec;
    for (std::size_t n = 0; !ec; ++n) {
        const auto end = boost::asio::read_until(socket, boost::asio::dynamic_buffer(buf), "\r\n\r\n", ec);
        if (ec) {
            return;
        }
        bytes += boost::asio::write(socket, boost::asio::buffer(m_make_reply(n, buf.substr(0, end))), ec);
        buf.erase(0, end);
        while (!ec && !m_repeated_bytes.empty() && !stopping) {
            bytes += boost::asio::write(socket, boost::asio::buffer(m_repeated_bytes), ec);
        }
    }
}

} // namespace cornelpier::test
