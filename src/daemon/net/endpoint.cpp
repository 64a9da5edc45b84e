#include "daemon/net/endpoint.hpp"

#include <charconv>

namespace cornelpier {

result<socket_address> parse_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return error{std::string{text}, "expected IP:port"};
    }

    std::string_view host = text.substr(0, colon);
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address(std::string{host}, ec);
    if (ec) {
        return error{std::string{text}, "expected an IP address"};
    }

    const std::string_view digits = text.substr(colon + 1);
    unsigned short port = 0;
    const auto [end, problem] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (problem != std::errc{} || end != digits.data() + digits.size() || port == 0) {
        return error{std::string{text}, "expected a port from 1 to 65535"};
    }
    return socket_address{address, port};
}

std::string format_address(const boost::asio::ip::udp::endpoint& endpoint) {
    const std::string host = endpoint.address().to_string();
    const std::string port = std::to_string(endpoint.port());
    return endpoint.address().is_v6() ? '[' + host + "]:" + port : host + ':' + port;
}

error listen_on(boost::asio::ip::tcp::acceptor& acceptor, const std::string& text) {
    const auto address = parse_address(text);
    if (const auto* problem = std::get_if<error>(&address)) {
        return *problem;
    }

    const auto endpoint = std::get<socket_address>(address).tcp();
    boost::system::error_code ec;
    acceptor.open(endpoint.protocol(), ec);
    if (!ec) {
        acceptor.set_option(boost::asio::socket_base::reuse_address(true), ec);
    }
    if (!ec) {
        acceptor.bind(endpoint, ec);
    }
    if (!ec) {
        acceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
    }
    return ec ? error{text, "cannot listen: " + ec.message()} : error{text, ""};
}

} // namespace cornelpier
