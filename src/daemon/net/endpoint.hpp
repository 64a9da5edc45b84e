#pragma once

#include "cornelpier/base/result.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <string>
#include <string_view>

namespace cornelpier {

/// IP address and port, for TCP or UDP.
struct socket_address {
    boost::asio::ip::address host;
    unsigned short port = 0;

    [[nodiscard]] boost::asio::ip::tcp::endpoint tcp() const { return {host, port}; }

    [[nodiscard]] boost::asio::ip::udp::endpoint udp() const { return {host, port}; }
};

/// @param text `IP:port`, with an IPv6 address in brackets. Host names are not resolved.
/// @return the address, or an error with `text` as its place.
result<socket_address> parse_address(std::string_view text);

/// @return `IP:port`, with an IPv6 address in brackets.
std::string format_address(const boost::asio::ip::udp::endpoint& endpoint);

/// Opens the acceptor, binds it and listens. SO_REUSEADDR allows an address that still has closing
/// connections of a previous process.
/// @param acceptor must not be open.
/// @param text `IP:port`.
/// @return an error with `text` as its place; its reason is empty on success.
error listen_on(boost::asio::ip::tcp::acceptor& acceptor, const std::string& text);

} // namespace cornelpier
