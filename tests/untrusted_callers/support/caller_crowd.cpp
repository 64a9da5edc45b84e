#include "tests/untrusted_callers/support/caller_crowd.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace cornelpier::test {

namespace {

using steady = std::chrono::steady_clock;

constexpr std::chrono::seconds quiet_time{2};

/// Small, so that unread responses stay with the node rather than in the kernel.
constexpr int receive_buffer_bytes = 4096;

sockaddr_in parse_address(const std::string& address) {
    const auto colon = address.rfind(':');
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

bool would_block() {
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

} // namespace

caller_crowd::caller_crowd(const std::string& address, std::size_t connections) {
    const auto peer = parse_address(address);
    for (std::size_t n = 0; n < connections; ++n) {
        const int id = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        setsockopt(id, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes);
        if (connect(id, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) != 0) {
            close(id);
            throw std::runtime_error("cannot connect to " + address);
        }
        fcntl(id, F_SETFL, fcntl(id, F_GETFL) | O_NONBLOCK);
        m_connections.push_back({id});
    }
}

caller_crowd::~caller_crowd() {
    for (auto& it : m_connections) {
        close_connection(it);
    }
}

void caller_crowd::close_connection(connection& it) {
    if (it.socket >= 0) {
        close(it.socket);
        it.socket = -1;
    }
}

void caller_crowd::discard_input(connection& it) {
    std::array<char, 4096> buffer{};
    ssize_t n = 1;
    while (n > 0) {
        n = recv(it.socket, buffer.data(), buffer.size(), 0);
    }
    if (n == 0 || !would_block()) {
        close_connection(it);
    }
}

/// @return true if a byte was sent.
bool caller_crowd::send_piece(connection& it, std::string_view bytes, const crowd_behaviour& behaviour) {
    const auto piece = bytes.substr(it.sent, behaviour.piece_bytes);
    const auto n = ::send(it.socket, piece.data(), piece.size(), MSG_NOSIGNAL);
    if (n < 0) {
        if (!would_block()) {
            close_connection(it);
        }
        return false;
    }
    it.sent += static_cast<std::size_t>(n);
    ++it.pieces;
    return n > 0;
}

void caller_crowd::send(std::string_view bytes, const crowd_behaviour& behaviour) {
    for (auto& it : m_connections) {
        it.sent = 0;
        it.pieces = 0;
    }
    auto last_progress = steady::now();
    bool unsent = true;
    while (unsent && steady::now() - last_progress < quiet_time) {
        unsent = false;
        bool progress = false;
        for (auto& it : m_connections) {
            if (behaviour.reads && it.socket >= 0) {
                discard_input(it);
            }
            const bool done = it.socket < 0 || it.sent == bytes.size() ||
                              (behaviour.max_pieces > 0 && it.pieces >= behaviour.max_pieces);
            if (!done) {
                unsent = true;
                progress = send_piece(it, bytes, behaviour) || progress;
            }
        }
        if (progress) {
            last_progress = steady::now();
        }
        const auto pause = progress ? behaviour.between_pieces : std::chrono::milliseconds{1};
        if (pause > std::chrono::milliseconds{0}) {
            std::this_thread::sleep_for(pause);
        }
    }
}

std::size_t caller_crowd::open_connections() const {
    return static_cast<std::size_t>(std::ranges::count_if(m_connections, [](const connection& it) {
        char byte = 0;
        return it.socket >= 0 && (recv(it.socket, &byte, 1, MSG_PEEK) > 0 || would_block());
    }));
}

} // namespace cornelpier::test
