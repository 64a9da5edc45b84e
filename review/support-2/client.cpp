#include "review/support-2/client.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t block_bytes = std::size_t{64} * 1024;
constexpr std::chrono::seconds connect_timeout{1};

} // namespace

client_connection::client_connection(const std::string& address) {
    const auto colon = address.rfind(':');
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &peer.sin_addr);
    m_socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (connect(m_socket, reinterpret_cast<sockaddr*>(&peer), sizeof peer) == 0) {
        return;
    }
    int failure = errno;
    if (failure == EINPROGRESS && wait(POLLOUT, steady::now() + connect_timeout)) {
        socklen_t size = sizeof failure;
        getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &failure, &size);
    }
    if (failure != 0) {
        close();
    }
}

client_connection::~client_connection() {
    close();
}

void client_connection::close() {
    if (m_socket >= 0) {
        ::close(m_socket);
        m_socket = -1;
    }
}

bool client_connection::wait(short events, steady::time_point until) const {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - steady::now()).count();
    pollfd it{m_socket, events, 0};
    return left > 0 && poll(&it, 1, static_cast<int>(left)) == 1;
}

bool client_connection::send(const std::string& bytes, steady::time_point until) {
    std::size_t sent = 0;
    while (connected() && sent < bytes.size()) {
        const auto n = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n > 0) {
            sent += static_cast<std::size_t>(n);
        } else if (errno != EAGAIN || !wait(POLLOUT, until)) {
            return false;
        }
    }
    return connected();
}

bool client_connection::send_filler(std::size_t count, steady::time_point until) {
    static const std::string block(block_bytes, 'x');
    for (std::size_t sent = 0; sent < count; sent += block.size()) {
        if (!send(block.substr(0, std::min(block.size(), count - sent)), until)) {
            return false;
        }
    }
    return true;
}

bool client_connection::read_some(steady::time_point until) {
    char buffer[block_bytes];
    while (connected()) {
        const auto n = recv(m_socket, buffer, sizeof buffer, 0);
        if (n > 0) {
            m_input.append(buffer, static_cast<std::size_t>(n));
            return true;
        }
        if (n == 0 || errno != EAGAIN || !wait(POLLIN, until)) {
            return false;
        }
    }
    return false;
}

client_answer client_connection::read_answer(steady::time_point until) {
    std::size_t end = 0;
    while ((end = m_input.find("\r\n\r\n")) == std::string::npos) {
        if (!read_some(until)) {
            return {};
        }
    }
    client_answer result;
    result.head = m_input.substr(0, end + 4);
    const auto length = find_header(result.head, "content-length");
    const std::size_t size = length ? std::stoul(*length) : 0;
    while (m_input.size() < result.head.size() + size) {
        if (!read_some(until)) {
            return {};
        }
    }
    result.body = m_input.substr(result.head.size(), size);
    result.status = std::stoi(result.head.substr(9, 3));
    m_input.erase(0, result.head.size() + size);
    return result;
}

std::optional<std::string> find_header(const std::string& head, const std::string& name) {
    std::string text = head;
    std::ranges::transform(text, text.begin(), [](unsigned char c) { return std::tolower(c); });
    const auto start = text.find("\r\n" + name + ": ");
    if (start == std::string::npos) {
        return std::nullopt;
    }
    const auto value = start + name.size() + 4;
    return head.substr(value, head.find("\r\n", value) - value);
}

std::string new_attempt_id() {
    static std::atomic<unsigned> last = 0;
    return "r" + std::to_string(getpid()) + "x" + std::to_string(++last);
}

std::string make_request(const std::string& method, const std::string& path, const std::string& id,
                         std::chrono::milliseconds deadline, const std::string& fields) {
    return method + ' ' + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + id +
           "\r\nX-Deadline-Ms: " + std::to_string(deadline.count()) + "\r\n" + fields + "\r\n";
}

client_answer call(const std::string& address, const std::string& request, steady::time_point until) {
    client_connection connection{address};
    return connection.connected() && connection.send(request, until) ? connection.read_answer(until)
                                                                     : client_answer{};
}

} // namespace review
