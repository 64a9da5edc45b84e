#include "review/support-2/target_standin.hpp"

#include "tests/standins/http_service.hpp"

#include <algorithm>
#include <sstream>

namespace review {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t block_bytes = std::size_t{64} * 1024;

std::string lower(std::string text) {
    std::ranges::transform(text, text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

target_request parse_head(const std::string& head) {
    target_request result;
    std::istringstream lines{head};
    std::string line;
    std::getline(lines, line);
    std::istringstream first{line};
    first >> result.method >> result.path;
    while (std::getline(lines, line) && line != "\r") {
        const auto colon = line.find(": ");
        if (colon != std::string::npos) {
            result.fields[lower(line.substr(0, colon))] = line.substr(colon + 2, line.size() - colon - 3);
        }
    }
    return result;
}

} // namespace

target_standin::target_standin(asio::io_context& context, target_options options, target_behaviour behaviour)
    : m_acceptor(context, cornelpier::standins::parse_endpoint(options.address)),
      m_options(std::move(options)), m_behaviour(std::move(behaviour)), m_crash_timer(context) {
    accept();
}

void target_standin::set_common_fields(const std::string& fields) {
    const std::lock_guard lock(m_mutex);
    m_common_fields = fields;
}

std::string target_standin::common_fields() const {
    const std::lock_guard lock(m_mutex);
    return m_common_fields;
}

void target_standin::accept() {
    m_acceptor.async_accept([this](error_code ec, asio::ip::tcp::socket socket) {
        if (!m_acceptor.is_open()) {
            return;
        }
        if (!ec) {
            const auto session = std::make_shared<target_session>(std::move(socket), *this);
            std::erase_if(m_sessions, [](const auto& it) { return it.expired(); });
            m_sessions.push_back(session);
            // A process that crashes does not read any more.
            if (m_crashed) {
                session->hold();
            } else {
                session->read_request();
            }
        }
        accept();
    });
}

void target_standin::crash(std::chrono::milliseconds listener_delay, std::chrono::milliseconds down_time) {
    if (std::exchange(m_crashed, true)) {
        return;
    }
    close_sessions();
    if (listener_delay == std::chrono::milliseconds{0}) {
        stop_listening(down_time);
        return;
    }
    m_crash_timer.expires_after(listener_delay);
    m_crash_timer.async_wait([this, down_time](error_code) { stop_listening(down_time); });
}

void target_standin::close_sessions() {
    for (const auto& it : std::exchange(m_sessions, {})) {
        if (const auto session = it.lock()) {
            session->close();
        }
    }
}

void target_standin::stop_listening(std::chrono::milliseconds down_time) {
    error_code ec;
    m_acceptor.close(ec);
    close_sessions();
    m_crash_timer.expires_after(down_time);
    m_crash_timer.async_wait([this](error_code) { listen_again(); });
}

void target_standin::listen_again() {
    const auto endpoint = cornelpier::standins::parse_endpoint(m_options.address);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
    m_crashed = false;
    accept();
}

std::string target_standin::load() const {
    return "X-Server-Load: " + std::to_string(m_running) + ',' + std::to_string(m_queue.size()) + ',' +
           std::to_string(m_options.slots) + ",100\r\n";
}

void target_standin::on_request(const std::shared_ptr<target_session>& session, target_request request) {
    if (request.path == "/health") {
        session->answer(200, "");
        return;
    }
    if (request.fields["x-expected-instance"] != m_options.instance) {
        session->answer(421, "");
        return;
    }
    if (m_running >= m_options.slots && m_queue.size() >= m_options.queue) {
        session->answer(503, "", "X-Not-Executed: 1\r\n");
        return;
    }
    session->m_running = true;
    m_queue.emplace_back(session, std::move(request));
    start_queued();
}

void target_standin::start_queued() {
    while (m_running < m_options.slots && !m_queue.empty()) {
        auto [session, request] = std::move(m_queue.front());
        m_queue.erase(m_queue.begin());
        ++m_running;
        m_behaviour(session, request);
    }
}

void target_standin::on_ended(const std::shared_ptr<target_session>& session) {
    const auto it = std::ranges::find(m_queue, session, [](const auto& entry) { return entry.first; });
    if (it != m_queue.end()) {
        m_queue.erase(it);
        return;
    }
    --m_running;
    start_queued();
}

target_session::target_session(asio::ip::tcp::socket socket, target_standin& owner)
    : m_socket(std::move(socket)), m_owner(owner), m_timer(m_socket.get_executor()) {
    m_socket.set_option(asio::ip::tcp::no_delay{true});
}

void target_session::hold() {
    m_socket.async_wait(asio::ip::tcp::socket::wait_error, [self = shared_from_this()](error_code) {});
}

void target_session::read_request() {
    ++m_exchange;
    asio::async_read_until(m_socket, asio::dynamic_buffer(m_input), "\r\n\r\n",
                           [self = shared_from_this()](error_code ec, std::size_t n) {
                               if (!ec) {
                                   self->on_head(n);
                               }
                           });
}

void target_session::on_head(std::size_t size) {
    auto request = parse_head(m_input.substr(0, size));
    m_input.erase(0, size);
    m_request_id = request.fields["x-attempt-id"];
    const auto length = request.fields.find("content-length");
    const std::size_t total = length == request.fields.end() ? 0 : std::stoul(length->second);
    read_body(std::move(request), total);
}

void target_session::read_body(target_request request, std::size_t left) {
    const std::size_t taken = std::min(left, m_input.size());
    request.body_bytes += taken;
    m_input.erase(0, taken);
    left -= taken;
    if (left == 0) {
        watch_peer();
        m_owner.on_request(shared_from_this(), std::move(request));
        return;
    }
    m_input.resize(block_bytes);
    m_socket.async_read_some(asio::buffer(m_input), [self = shared_from_this(), request = std::move(request),
                                                     left](error_code ec, std::size_t n) mutable {
        self->m_input.resize(n);
        if (!ec) {
            self->read_body(std::move(request), left);
        }
    });
}

void target_session::watch_peer() {
    m_socket.async_wait(asio::ip::tcp::socket::wait_read,
                        [self = shared_from_this(), exchange = m_exchange](error_code ec) {
                            error_code problem;
                            const bool is_current = exchange == self->m_exchange && self->m_running;
                            if (ec || !is_current || self->m_socket.available(problem) > 0) {
                                return;
                            }
                            if (const auto handler = std::exchange(self->on_given_up, nullptr)) {
                                handler();
                            }
                            self->close();
                        });
}

void target_session::after(std::chrono::milliseconds delay, std::function<void()> function) {
    m_timer.expires_after(delay);
    m_timer.async_wait([self = shared_from_this(), function = std::move(function)](error_code ec) {
        if (!ec && !self->m_closed) {
            function();
        }
    });
}

void target_session::answer_after(std::chrono::milliseconds work, int status, const std::string& body,
                                  const std::string& fields) {
    after(work, [this, status, body, fields] { answer(status, body, fields); });
}

void target_session::answer(int status, const std::string& body, const std::string& fields) {
    std::string head = "HTTP/1.1 " + std::to_string(status) +
                       " Status\r\nX-Instance-Id: " + m_owner.options().instance + "\r\n" + m_owner.load() +
                       m_owner.common_fields() + fields;
    if (!m_request_id.empty()) {
        head += "X-Attempt-Id: " + m_request_id + "\r\n";
    }
    if (status < 400 && !m_request_id.empty()) {
        head += "X-Response-Seal: seal-" + m_request_id + "\r\n";
    }
    head += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    send_raw(head + body, [this] { end_run(); });
}

void target_session::send_raw(std::string bytes, std::function<void()> on_sent) {
    m_output = std::move(bytes);
    asio::async_write(m_socket, asio::buffer(m_output),
                      [self = shared_from_this(), on_sent = std::move(on_sent)](error_code ec, std::size_t) {
                          if (self->m_closed) {
                              return;
                          }
                          if (ec) {
                              if (const auto handler = std::exchange(self->on_given_up, nullptr)) {
                                  handler();
                              }
                              self->close();
                              return;
                          }
                          on_sent();
                      });
}

void target_session::end_run() {
    on_given_up = nullptr;
    if (std::exchange(m_running, false)) {
        m_owner.on_ended(shared_from_this());
    }
    if (!m_closed) {
        read_request();
    }
}

void target_session::close() {
    if (std::exchange(m_closed, true)) {
        return;
    }
    m_timer.cancel();
    error_code ec;
    m_socket.close(ec);
    if (std::exchange(m_running, false)) {
        m_owner.on_ended(shared_from_this());
    }
}

} // namespace review
