#include "daemon/caller/caller_session.hpp"
#include "daemon/caller/response_writer.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

/// The parts of `caller_session` that bound what is held for a caller and for how long.
namespace cornelpier {

namespace {

using boost::system::error_code;

constexpr duration room_retry_after = std::chrono::seconds{1};
constexpr int bad_gateway = 502;

/// Responses up to this size, such as refusals, are kept even if the budget has no room.
constexpr std::size_t max_brief_response_bytes = 1024;

/// Capacity of the input buffer that an idle connection keeps.
constexpr std::size_t kept_input_bytes = std::size_t{8} * 1024;

std::size_t response_bytes(const answer_caller& answer) {
    std::size_t result = answer.response.body->size();
    for (const auto& [name, value] : answer.response.fields) {
        result += name.size() + value.size();
    }
    return result;
}

} // namespace

/// Moves the bytes of the last read to the input buffer.
/// @return false if the budget has no room for a larger buffer.
bool caller_session::store_input(std::size_t n) {
    const std::size_t needed = m_buffer.size() + n;
    if (needed > m_input_bytes.size() && !m_input_bytes.resize(std::max(needed, 2 * m_buffer.size()))) {
        return false;
    }
    m_buffer.commit(boost::asio::buffer_copy(m_buffer.prepare(n), boost::asio::buffer(m_read_buffer, n)));
    return true;
}

/// Returns the memory of a large request or of many pipelined ones.
void caller_session::shrink_input() {
    if (m_buffer.size() == 0 && m_buffer.capacity() > kept_input_bytes) {
        m_buffer.shrink_to_fit();
        m_input_bytes.release();
    }
}

/// Releases everything that is held for the request that is being read.
void caller_session::release_input() {
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    m_input_bytes.release();
    m_head_bytes.release();
    m_parser.reset();
    m_body.reset();
    m_head = {};
}

/// The request has not been passed on, so the refusal truthfully says that it has not run.
void caller_session::refuse_for_room() {
    m_context->close_stalled_sessions();
    auto answer = make_refusal(503, "the node has no memory left for this request");
    answer.retry_after = room_retry_after;
    refuse(std::move(answer));
}

caller_wait caller_session::current_wait() const {
    if (m_writer != nullptr || m_input == input::head || m_input == input::body ||
        m_input == input::lingering) {
        return caller_wait::action;
    }
    if (m_input != input::idle || !m_exchanges.empty()) {
        return caller_wait::none;
    }
    return m_awaiting_first_request ? caller_wait::action : caller_wait::request;
}

std::size_t caller_session::unread_response_bytes() const {
    std::size_t result = m_written_bytes.size();
    for (const auto& it : m_exchanges) {
        result += it.response.size();
    }
    return result;
}

/// Counts a response until it is written. Without room, a short one replaces it; the verdict stays.
void caller_session::hold_response(exchange& answered) const {
    const std::size_t bytes = response_bytes(*answered.answer);
    if (answered.response.resize(bytes)) {
        return;
    }
    if (bytes <= max_brief_response_bytes) {
        answered.response.force_resize(bytes);
        return;
    }
    m_context->close_stalled_sessions();
    auto& response = answered.answer->response;
    response = make_refusal(bad_gateway, "the node has no memory left for the response").response;
    answered.response.force_resize(response_bytes(*answered.answer));
}

void caller_session::close_if_stalled() {
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (self->m_input != input::closed && self->m_progress.stalled()) {
            self->drop_stalled();
        }
    });
}

void caller_session::drop_stalled() {
    const bool writes = m_writer != nullptr;
    // Input that has not been read yet means that the process was not scheduled, not that the caller waits.
    error_code ec;
    if (!writes && m_input != input::lingering && m_socket.available(ec) > 0) {
        return;
    }
    m_context->log_event({event_number::caller_without_progress, {}});
    if (writes || m_input == input::lingering) {
        on_write_failed();
        return;
    }
    if (m_input == input::idle && !m_awaiting_first_request) {
        close();
        return;
    }
    m_progress.set_wait(caller_wait::none);
    refuse(make_refusal(408, "the request made no progress and others need the room"));
}

} // namespace cornelpier
