#include "daemon/net/connection_state.hpp"

#include <linux/sockios.h>
#include <poll.h>

namespace cornelpier {

namespace {

/// Asio's IoControlCommand for the size of the send queue.
class send_queue_size {
  public:
    [[nodiscard]] static int name() { return SIOCOUTQ; }
    [[nodiscard]] void* data() { return &m_bytes; }
    [[nodiscard]] int bytes() const { return m_bytes; }

  private:
    int m_bytes = 0;
};

} // namespace

std::size_t unacknowledged_bytes(boost::asio::ip::tcp::socket& socket) {
    send_queue_size command;
    boost::system::error_code ec;
    socket.io_control(command, ec);
    return ec || command.bytes() < 0 ? 0 : static_cast<std::size_t>(command.bytes());
}

bool is_connection_reset(boost::asio::ip::tcp::socket& socket) {
    pollfd state{socket.native_handle(), 0, 0};
    return ::poll(&state, 1, 0) == 1 && (state.revents & (POLLHUP | POLLERR)) != 0;
}

} // namespace cornelpier
