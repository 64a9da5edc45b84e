#include "daemon/link/link_manager.hpp"

#include "daemon/link/control_link_table.hpp"
#include "daemon/link/link_endpoint_config.hpp"
#include "daemon/link/link_receiver.hpp"
#include "daemon/link/link_table.hpp"
#include "daemon/link/websocket_channel.hpp"
#include "daemon/net/endpoint.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/server.hpp>

#include <netinet/tcp.h>
#include <utility>

namespace cornelpier {

namespace {

using server_endpoint = websocketpp::server<server_link_config>;
using client_endpoint = websocketpp::client<client_link_config>;
using websocketpp::connection_hdl;

constexpr std::chrono::seconds control_link_idle_timeout{10};

template <typename Endpoint>
void configure_endpoint(Endpoint& endpoint, boost::asio::io_context& context) {
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.init_asio(&context);
}

/// Unsent bytes above which the kernel takes no more, in bytes. Without it, the kernel takes up to 4 MiB of a
/// large message, behind which a small message waits for seconds at 10 Mbit/s.
constexpr int max_unsent_kernel_bytes = 16 * 1024;

/// Sends small messages without delay and keeps little data in the kernel ahead of them.
template <typename ConnectionPtr>
void reduce_delay(const ConnectionPtr& connection) {
    using unsent_limit = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_NOTSENT_LOWAT>;
    boost::system::error_code ec;
    connection->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true), ec);
    connection->get_raw_socket().set_option(unsent_limit{max_unsent_kernel_bytes}, ec);
}

std::string format_link_id(link_id link) {
    return std::to_string(link.value());
}

} // namespace

/// Holds the server and client endpoints of websocketpp. Links are opened on one strand, because the resolver
/// of the endpoints is not thread-safe.
class link_manager::implementation : public std::enable_shared_from_this<implementation> {
  public:
    implementation(boost::asio::io_context& context, link_handlers handlers)
        : m_handlers(std::move(handlers)), m_strand(make_strand(context)), m_idle_timer(m_strand) {
        configure_endpoint(m_server, context);
        configure_endpoint(m_client, context);
        m_server.set_reuse_addr(true);
    }

    error bind(const std::string& text) {
        const auto address = parse_address(text);
        if (const auto* problem = std::get_if<error>(&address)) {
            return *problem;
        }
        websocketpp::lib::error_code ec;
        m_server.set_listen_backlog(boost::asio::socket_base::max_listen_connections);
        m_server.listen(std::get<socket_address>(address).tcp(), ec);
        return ec ? error{text, "cannot listen: address not usable or in use"} : error{text, ""};
    }

    void start() {
        m_server.set_open_handler([weak = weak_from_this()](const connection_hdl& handle) {
            if (const auto self = weak.lock()) {
                self->on_accepted(handle);
            }
        });
        websocketpp::lib::error_code ec;
        m_server.start_accept(ec);
        close_idle_control_links();
    }

    void open(link_id link, link_use use, const std::string& address) {
        boost::asio::post(m_strand, [self = shared_from_this(), link, use, address] {
            self->open_on_strand(link, use, address);
        });
    }

    void close(link_id link) {
        // Runs on the strand, so that it follows an `open` that has been posted but not yet run.
        boost::asio::post(m_strand, [self = shared_from_this(), link] {
            if (const auto it = self->m_table.remove(link)) {
                it->channel->close();
            }
        });
    }

    void send(link_id link, node_message message) {
        if (const auto it = m_table.find(link)) {
            it->channel->send(std::move(message));
        }
    }

    void send_control(const std::string& address, control_message message) {
        boost::asio::post(m_strand,
                          [self = shared_from_this(), address, message = std::move(message)]() mutable {
                              self->send_control_on_strand(address, std::move(message));
                          });
    }

    [[nodiscard]] std::size_t link_count() const { return m_table.size(); }

    void set_body_limit(std::size_t bytes) { m_budget->set_limit(link_message_limit(bytes)); }

    [[nodiscard]] std::size_t bytes_in_assembly() const { return m_budget->in_use(); }

    [[nodiscard]] std::size_t bytes_unsent() const { return *m_unsent; }

    [[nodiscard]] std::size_t queued_bytes() const { return m_table.queued_bytes(); }

    void stop() {
        websocketpp::lib::error_code ec;
        if (m_server.is_listening()) {
            m_server.stop_listening(ec);
        }
        for (const auto& it : m_table.remove_all()) {
            it.channel->close();
        }
    }

  private:
    void open_on_strand(link_id link, link_use use, const std::string& address) {
        websocketpp::lib::error_code ec;
        const auto connection = m_client.get_connection("ws://" + address + "/", ec);
        if (ec) {
            notify_closed(link, {use, nullptr, false});
            return;
        }

        const auto weak = weak_from_this();
        connection->set_open_handler([weak, link, raw = connection.get()](const connection_hdl&) {
            reduce_delay(raw);
            if (const auto self = weak.lock()) {
                self->on_opened(link, raw);
            }
        });
        connection->set_fail_handler([weak, link](const connection_hdl&) {
            if (const auto self = weak.lock()) {
                self->on_closed(link);
            }
        });
        register_link(link, use, connection);
        m_client.connect(connection);
    }

    void on_accepted(const connection_hdl& handle) {
        websocketpp::lib::error_code ec;
        const auto connection = m_server.get_con_from_hdl(handle, ec);
        if (ec) {
            return;
        }
        reduce_delay(connection);
        register_link(m_table.next_accepted(), link_use::accepted, connection);
    }

    /// Adds the link to the table and sets the handlers of its connection.
    template <typename ConnectionPtr>
    void register_link(link_id link, link_use use, const ConnectionPtr& connection) {
        const auto weak = weak_from_this();
        const auto receiver = std::make_shared<link_receiver>(m_budget);
        connection->set_close_handler([weak, link, receiver, raw = connection.get()](const connection_hdl&) {
            if (const auto self = weak.lock()) {
                self->on_websocket_closed(link, raw->get_local_close_code(), *receiver);
            }
        });
        connection->set_message_handler([weak, link, receiver](const connection_hdl&, const auto& message) {
            if (const auto self = weak.lock()) {
                self->on_message_frame(link, message->get_opcode(), message->get_payload(), *receiver);
            }
        });
        const auto overflow = [weak, link] {
            if (const auto self = weak.lock()) {
                self->close_with_event(link, event_number::link_queue_full, "the peer reads too slowly");
            }
        };
        m_table.add(link, {use,
                           std::make_shared<websocket_channel<ConnectionPtr>>(connection, m_handlers.clock,
                                                                              m_budget, m_unsent, overflow),
                           false});
    }

    template <typename Connection>
    void on_opened(link_id link, Connection* connection) {
        const auto it = m_table.find(link);
        if (!it) {
            boost::system::error_code ec;
            connection->get_raw_socket().close(ec);
            return;
        }
        if (it->use == link_use::core) {
            m_handlers.on_opened(link);
            return;
        }
        boost::asio::post(m_strand, [self = shared_from_this(), link] {
            for (auto& message : self->m_control_link_table.mark_open(link)) {
                self->send(link, std::move(message));
            }
        });
    }

    void on_websocket_closed(link_id link, websocketpp::close::status::value code, link_receiver& receiver) {
        if (code == websocketpp::close::status::message_too_big) {
            record_malformed(link, "a frame was larger than 64 KiB");
        }
        if (const std::size_t dropped = receiver.end(); dropped > 0) {
            m_handlers.record({event_number::link_message_incomplete,
                               {{"link", format_link_id(link)}, {"messages", std::to_string(dropped)}}});
        }
        on_closed(link);
    }

    void on_closed(link_id link) {
        if (const auto it = m_table.remove(link)) {
            // Websocketpp leaves the socket open. Asio skips a wait that is queued behind a failed write, so
            // that the wait would keep the channel and its queue for good.
            it->channel->close();
            notify_closed(link, *it);
        }
    }

    void notify_closed(link_id link, const link_table::entry& entry) {
        if (entry.use == link_use::control) {
            boost::asio::post(m_strand,
                              [self = shared_from_this(), link] { self->m_control_link_table.remove(link); });
            return;
        }
        if (entry.use == link_use::core || entry.carried_traffic) {
            m_handlers.on_closed(link);
        }
    }

    void on_message_frame(link_id link, websocketpp::frame::opcode::value opcode, const std::string& payload,
                          link_receiver& receiver) {
        const auto entry = m_table.find(link);
        if (!entry) {
            return;
        }
        if (opcode != websocketpp::frame::opcode::binary) {
            close_with_event(link, event_number::link_message_malformed, "not a binary frame");
            return;
        }

        auto outcome = receiver.receive(payload, link_receiver::clock::now());
        if (const auto* problem = std::get_if<assembly_error>(&outcome)) {
            close_with_event(link, problem->number, problem->reason);
            return;
        }
        if (const auto* fragment = std::get_if<fragment_received>(&outcome)) {
            report_progress(link, *entry, fragment->report);
            return;
        }
        auto& stamped = std::get<stamped_message>(outcome);
        m_handlers.clock->merge(stamped.stamp);
        dispatch_message(link, *entry, std::move(stamped.message));
    }

    void report_progress(link_id link, const link_table::entry& entry, bool report) {
        if (report && entry.use != link_use::control) {
            m_handlers.on_progress(link);
        }
    }

    void dispatch_message(link_id link, const link_table::entry& entry, node_message message) {
        if (auto* control = std::get_if<control_message>(&message)) {
            m_handlers.on_control_message(std::move(*control));
            return;
        }
        if (entry.use == link_use::control) {
            return;
        }
        if (entry.use == link_use::accepted && !entry.carried_traffic) {
            m_table.mark_carried_traffic(link);
        }
        m_handlers.on_traffic_message(link, std::get<traffic_message>(std::move(message)));
    }

    void close_with_event(link_id link, event_number number, const std::string& reason) {
        const auto it = m_table.remove(link);
        if (!it) {
            return;
        }
        m_handlers.record({number, {{"link", format_link_id(link)}, {"reason", reason}}});
        it->channel->close();
        notify_closed(link, *it);
    }

    void record_malformed(link_id link, const std::string& reason) {
        m_handlers.record(
            {event_number::link_message_malformed, {{"link", format_link_id(link)}, {"reason", reason}}});
    }

    void send_control_on_strand(const std::string& address, control_message message) {
        auto* entry = m_control_link_table.find(address);
        if (entry == nullptr) {
            const link_id link = m_table.next_control();
            entry = &m_control_link_table.add(address, link);
            open_on_strand(link, link_use::control, address);
        }

        entry->last_use = control_link_table::clock::now();
        if (entry->open) {
            send(entry->link, std::move(message));
            return;
        }
        if (entry->pending_messages.size() < max_pending_control_messages) {
            entry->pending_messages.push_back(std::move(message));
        }
    }

    void close_idle_control_links() {
        m_idle_timer.expires_after(control_link_idle_timeout);
        m_idle_timer.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
            const auto self = weak.lock();
            if (ec || !self) {
                return;
            }
            const auto since = control_link_table::clock::now() - control_link_idle_timeout;
            for (const auto link : self->m_control_link_table.remove_idle(since)) {
                self->close(link);
            }
            self->close_idle_control_links();
        });
    }

    link_handlers m_handlers;
    std::shared_ptr<assembly_budget> m_budget = std::make_shared<assembly_budget>(max_link_message_bytes);
    unsent_bytes::counter m_unsent = std::make_shared<std::atomic<std::size_t>>(0);
    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    boost::asio::steady_timer m_idle_timer;
    server_endpoint m_server;
    client_endpoint m_client;
    link_table m_table;
    control_link_table m_control_link_table;
};

link_manager::link_manager(boost::asio::io_context& context, link_handlers handlers)
    : m_implementation(std::make_shared<implementation>(context, std::move(handlers))) {}

link_manager::~link_manager() = default;

error link_manager::bind(const std::string& address) {
    return m_implementation->bind(address);
}

void link_manager::start() {
    m_implementation->start();
}

void link_manager::open(link_id link, const std::string& address) {
    m_implementation->open(link, link_use::core, address);
}

void link_manager::close(link_id link) {
    m_implementation->close(link);
}

void link_manager::send(link_id link, traffic_message message) {
    m_implementation->send(link, std::move(message));
}

void link_manager::send_control(const std::string& address, control_message message) {
    m_implementation->send_control(address, std::move(message));
}

std::size_t link_manager::link_count() const {
    return m_implementation->link_count();
}

void link_manager::set_body_limit(std::size_t bytes) {
    m_implementation->set_body_limit(bytes);
}

std::size_t link_manager::bytes_in_assembly() const {
    return m_implementation->bytes_in_assembly();
}

std::size_t link_manager::bytes_unsent() const {
    return m_implementation->bytes_unsent();
}

std::size_t link_manager::queued_bytes() const {
    return m_implementation->queued_bytes();
}

void link_manager::stop() {
    m_implementation->stop();
}

} // namespace cornelpier
