#pragma once

#include "daemon/link/link_manager.hpp"

#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>

namespace cornelpier {

/// Configuration of websocketpp with the limits and timeouts of node links.
template <typename Base>
struct link_config : public Base {
    using type = link_config;
    using base = Base;
    using concurrency_type = typename base::concurrency_type;
    using request_type = typename base::request_type;
    using response_type = typename base::response_type;
    using message_type = typename base::message_type;
    using con_msg_manager_type = typename base::con_msg_manager_type;
    using endpoint_msg_manager_type = typename base::endpoint_msg_manager_type;
    using alog_type = typename base::alog_type;
    using elog_type = typename base::elog_type;
    using rng_type = typename base::rng_type;

    /// All timeouts are in milliseconds. A failed VM does not answer at all, and the entry must detect that
    /// quickly.
    static constexpr long timeout_open_handshake = 500;
    static constexpr long timeout_close_handshake = 100;
    static constexpr std::size_t max_message_size = max_link_frame_bytes;
    static constexpr std::size_t max_http_body_size = 0;
    static constexpr bool drop_on_protocol_error = true;

    struct transport_config : public base::transport_config {
        static constexpr long timeout_connect = 500;
        static constexpr long timeout_dns_resolve = 500;
        static constexpr long timeout_socket_shutdown = 100;
    };

    using transport_type = websocketpp::transport::asio::endpoint<transport_config>;
};

using server_link_config = link_config<websocketpp::config::asio>;
using client_link_config = link_config<websocketpp::config::asio_client>;

} // namespace cornelpier
