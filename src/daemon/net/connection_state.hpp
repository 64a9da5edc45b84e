#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>

namespace cornelpier {

/// @param socket connected, or ended by its peer.
/// @return number of bytes that were written and that the peer has not acknowledged; after a reset, those
/// that were lost. 0 if the system does not tell.
std::size_t unacknowledged_bytes(boost::asio::ip::tcp::socket& socket);

/// Unlike the error of the socket, which only its next operation gets, this can be asked any number of times.
/// @param socket whose sending side is open.
/// @return whether the connection has ended in both directions, which only a reset or a timeout does.
bool is_connection_reset(boost::asio::ip::tcp::socket& socket);

} // namespace cornelpier
