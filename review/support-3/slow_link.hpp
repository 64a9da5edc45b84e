#pragma once

#include "review/support-3/rig.hpp"

namespace rig {

/// Proxy in front of a sidecar's port for other nodes: what the sidecar sends shares the bandwidth of its
/// machine's link.
class slow_link {
  public:
    slow_link(const std::string& ip, std::string target_ip, double mbit_per_s)
        : m_target_ip(std::move(target_ip)), m_bytes_per_s(mbit_per_s * 1e6 / 8),
          m_listener(ip, node_port, [this](auto& it) { serve(it); }) {}

  private:
    static constexpr std::size_t piece_bytes = 4096;

    void serve(connection& peer) {
        // Small buffers, so that what the link has not carried yet waits at its sender.
        const int size = 16'384;
        auto target = connect_to(m_target_ip, node_port, [size](int handle) {
            ::setsockopt(handle, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
        });
        if (!target.open()) {
            peer.reset();
            return;
        }
        ::setsockopt(peer.handle(), SOL_SOCKET, SO_SNDBUF, &size, sizeof size);
        std::thread inbound([&] { pump(peer, target, false); });
        pump(target, peer, true);
        inbound.join();
    }

    void pump(connection& from, connection& to, bool limited) {
        std::string buffer(piece_bytes, '\0');
        while (true) {
            const auto n = ::recv(from.handle(), buffer.data(), buffer.size(), 0);
            if (n <= 0) {
                break;
            }
            if (limited) {
                wait_for_bandwidth(static_cast<std::size_t>(n));
            }
            if (!to.send({buffer.data(), static_cast<std::size_t>(n)}, milliseconds{60'000})) {
                break;
            }
        }
        ::shutdown(from.handle(), SHUT_RDWR);
        ::shutdown(to.handle(), SHUT_RDWR);
    }

    void wait_for_bandwidth(std::size_t bytes) {
        clock::time_point due;
        {
            const std::lock_guard lock(m_mutex);
            m_free_at = std::max(m_free_at, clock::now()) +
                        std::chrono::duration_cast<clock::duration>(
                            std::chrono::duration<double>(static_cast<double>(bytes) / m_bytes_per_s));
            due = m_free_at;
        }
        std::this_thread::sleep_until(due);
    }

    std::string m_target_ip;
    double m_bytes_per_s;
    std::mutex m_mutex;
    clock::time_point m_free_at = clock::now();
    listener m_listener;
};

} // namespace rig
