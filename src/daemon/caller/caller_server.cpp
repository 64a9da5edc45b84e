#include "daemon/caller/caller_server.hpp"

#include "daemon/caller/caller_session.hpp"
#include "daemon/net/endpoint.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <utility>

namespace cornelpier {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

/// Connections above the limit that receive a 503 response; further ones are closed without a response.
constexpr std::size_t max_rejected_connections = 256;

/// Time after the stop deadline to write the responses to requests that it ended.
constexpr std::chrono::milliseconds final_response_time{200};

/// The part of the connections that is kept free for callers that make progress.
constexpr std::size_t connection_reserve_divisor = 8;

constexpr std::chrono::milliseconds accept_retry_delay{100};
constexpr std::chrono::milliseconds stop_poll_interval{5};

} // namespace

/// Accepts connections on one strand and routes responses to their sessions.
class caller_server::implementation : public std::enable_shared_from_this<implementation> {
  public:
    implementation(boost::asio::io_context& io_context, std::shared_ptr<caller_context> context)
        : m_io_context(io_context), m_context(std::move(context)), m_strand(make_strand(io_context)),
          m_acceptor(m_strand), m_timer(m_strand) {}

    error bind() { return listen_on(m_acceptor, m_context->options().address); }

    void accept() {
        m_acceptor.async_accept(make_strand(m_io_context),
                                [self = shared_from_this()](error_code ec, tcp::socket socket) {
                                    self->on_accepted(ec, std::move(socket));
                                });
    }

    void answer(answer_caller answer) {
        if (const auto session = m_context->take_call(answer.call)) {
            session->answer(std::move(answer));
        }
    }

    void set_limits(const caller_limits& limits) { m_context->set_limits(limits); }

    void set_view(shared_fleet_view view) { m_context->set_view(std::move(view)); }

    void stop_accepting() {
        boost::asio::post(m_strand, [self = shared_from_this()] { self->accept_backlog(); });
    }

    void shut_down(std::function<void()> on_done) {
        boost::asio::post(m_strand, [self = shared_from_this(), on_done = std::move(on_done)]() mutable {
            self->stop(std::move(on_done));
        });
    }

    [[nodiscard]] std::size_t connections() const { return m_context->session_count(); }

  private:
    void on_accepted(error_code ec, tcp::socket socket) {
        // A connection may have been accepted just before the listener was closed; it still gets a response.
        if (!ec) {
            add(std::move(socket));
        }
        if (!m_acceptor.is_open()) {
            return;
        }
        if (ec) {
            // Usually the process is out of file descriptors; retrying immediately would spin.
            m_timer.expires_after(accept_retry_delay);
            m_timer.async_wait([self = shared_from_this()](error_code failure) {
                if (!failure) {
                    self->accept();
                }
            });
            return;
        }
        accept();
    }

    void add(tcp::socket socket) {
        error_code ec;
        socket.set_option(tcp::no_delay(true), ec);
        const auto count = m_context->session_count();
        const auto limit = m_context->options().max_connections;
        if (count >= limit - limit / connection_reserve_divisor) {
            m_context->close_stalled_sessions();
        }
        if (count >= m_context->options().max_connections + max_rejected_connections) {
            return;
        }

        const auto session = std::make_shared<caller_session>(std::move(socket), m_context);
        m_context->add_session(session);
        if (count >= m_context->options().max_connections) {
            session->reject_connection();
            return;
        }
        session->start();
        if (m_context->stopping()) {
            session->shut_down();
        }
    }

    void stop(std::function<void()> on_done) {
        m_context->stop();
        accept_backlog();
        for (const auto& it : m_context->sessions()) {
            it->shut_down();
        }
        m_stop_deadline = std::chrono::steady_clock::now() + m_context->options().stop_timeout;
        wait_for_sessions(std::move(on_done));
    }

    /// Accepts all connections in the backlog before closing the listener, because closing it resets them.
    void accept_backlog() {
        if (!m_acceptor.is_open()) {
            return;
        }
        m_timer.cancel();
        error_code ec;
        m_acceptor.cancel(ec);
        m_acceptor.non_blocking(true, ec);
        while (!ec) {
            tcp::socket socket(make_strand(m_io_context));
            m_acceptor.accept(socket, ec);
            if (!ec) {
                add(std::move(socket));
            }
        }
        m_acceptor.close(ec);
    }

    void wait_for_sessions(std::function<void()> on_done) {
        const bool expired = std::chrono::steady_clock::now() >= m_stop_deadline;
        if (m_context->session_count() == 0 || (expired && m_ending_requests)) {
            on_done();
            return;
        }
        if (expired) {
            end_pending_requests();
        }
        m_timer.expires_after(stop_poll_interval);
        m_timer.async_wait([self = shared_from_this(), on_done = std::move(on_done)](error_code) mutable {
            self->wait_for_sessions(std::move(on_done));
        });
    }

    /// Ends the requests that outlast the stop deadline, so that their callers get a response before the
    /// process ends.
    void end_pending_requests() {
        m_ending_requests = true;
        m_stop_deadline += final_response_time;
        m_context->report(stop_deadline_reached{});
        for (const auto& it : m_context->sessions()) {
            it->refuse_unfinished_request();
        }
    }

    boost::asio::io_context& m_io_context;
    std::shared_ptr<caller_context> m_context;
    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_timer;
    std::chrono::steady_clock::time_point m_stop_deadline;
    bool m_ending_requests = false;
};

caller_server::caller_server(boost::asio::io_context& io_context, caller_options options,
                             caller_event_handler handler, event_sink sink)
    : m_implementation(std::make_shared<implementation>(
          io_context,
          std::make_shared<caller_context>(std::move(options), std::move(handler), std::move(sink)))) {}

caller_server::~caller_server() = default;

error caller_server::bind() {
    return m_implementation->bind();
}

void caller_server::start() {
    m_implementation->accept();
}

void caller_server::answer(answer_caller answer) {
    m_implementation->answer(std::move(answer));
}

void caller_server::set_limits(const caller_limits& limits) {
    m_implementation->set_limits(limits);
}

void caller_server::set_view(shared_fleet_view view) {
    m_implementation->set_view(std::move(view));
}

void caller_server::stop_accepting() {
    m_implementation->stop_accepting();
}

void caller_server::shut_down(std::function<void()> on_done) {
    m_implementation->shut_down(std::move(on_done));
}

std::size_t caller_server::connections() const {
    return m_implementation->connections();
}

} // namespace cornelpier
