#pragma once

#include "cornelpier/base/result.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <string>
#include <string_view>

namespace cornelpier {

/// Address of a socket without its protocol.
struct socket_address {
    boost::asio::ip::address host;
    unsigned short port = 0;

    /// @return the address for TCP.
    [[nodiscard]] boost::asio::ip::tcp::endpoint tcp() const { return {host, port}; }

    /// @return the address for UDP.
    [[nodiscard]] boost::asio::ip::udp::endpoint udp() const { return {host, port}; }
};

/// @param text `IP:port`, with an IPv6 address in brackets. Host names are not resolved.
/// @return the address, or an error whose place is the text.
result<socket_address> parse_address(std::string_view text);

/// @return `IP:port`, with an IPv6 address in brackets.
std::string format_address(const boost::asio::ip::udp::endpoint& endpoint);

/// Opens, binds and listens. The address may be in use by connections of a predecessor that are closing.
/// @param acceptor not open yet.
/// @param text `IP:port`.
/// @return an error that names the address, or an empty reason.
error listen_on(boost::asio::ip::tcp::acceptor& acceptor, const std::string& text);

} // namespace cornelpier
