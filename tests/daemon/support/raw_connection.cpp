#include "tests/daemon/support/raw_connection.hpp"

#include <arpa/inet.h>
#include <array>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>
#include <utility>

namespace cornelpier::test {

raw_connection::raw_connection(const std::string& address)
    : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const timeval limit{8, 0};
    const int on = 1;
    setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    setsockopt(m_socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);

    const auto colon = address.rfind(':');
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &peer.sin_addr);
    if (connect(m_socket, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) != 0) {
        close(m_socket);
        throw std::runtime_error("cannot connect to " + address);
    }
}

raw_connection::~raw_connection() {
    close(m_socket);
}

void raw_connection::send(std::string_view bytes) const {
    while (!bytes.empty()) {
        const auto n = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0) {
            return;
        }
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
}

std::string raw_connection::read_until(std::string_view text) {
    while (true) {
        const auto position = m_unread.find(text);
        if (position != std::string::npos) {
            std::string result = m_unread.substr(0, position + text.size());
            m_unread.erase(0, position + text.size());
            return result;
        }

        if (!receive()) {
            return std::exchange(m_unread, {});
        }
    }
}

std::string raw_connection::read_bytes(std::size_t size) {
    while (m_unread.size() < size && receive()) {
    }
    std::string result = m_unread.substr(0, size);
    m_unread.erase(0, size);
    return result;
}

bool raw_connection::receive() {
    std::array<char, 4096> buf{};
    const auto n = recv(m_socket, buf.data(), buf.size(), 0);
    if (n <= 0) {
        return false;
    }
    m_unread.append(buf.data(), static_cast<std::size_t>(n));
    return true;
}

} // namespace cornelpier::test
