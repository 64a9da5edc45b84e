#include "daemon/link/message_fragmenter.hpp"

#include "daemon/link/fragment_format.hpp"

#include <algorithm>
#include <utility>

namespace cornelpier {

std::size_t message_fragmenter::large_message::bytes_left() const {
    std::size_t result = content.size() - sent;
    for (const auto& it : followers) {
        result += it.size();
    }
    return result;
}

void message_fragmenter::push(outgoing_message message) {
    if (message.size() > max_whole_message_bytes) {
        m_queued_bytes += message.size();
        auto& queue = m_open.size() < max_open_messages ? m_open : m_waiting;
        queue.push_back({std::move(message), 0, 0, {}});
        return;
    }
    // A small message has its body in the head.
    auto* predecessor = message.attempt ? find(*message.attempt) : nullptr;
    if (predecessor == nullptr) {
        push_small(std::move(message.head));
        return;
    }
    m_queued_bytes += message.head.size();
    predecessor->followers.push_back(std::move(message.head));
}

void message_fragmenter::push_small(std::string frame) {
    m_queued_bytes += frame.size();
    m_small_frames.push_back(std::move(frame));
}

message_fragmenter::large_message* message_fragmenter::find(const attempt_id& attempt) {
    const auto is_match = [&](const large_message& it) { return it.content.attempt == attempt; };
    // The last one: it follows the others of the attempt.
    for (auto* queue : {&m_waiting, &m_open}) {
        const auto it = std::find_if(queue->rbegin(), queue->rend(), is_match);
        if (it != queue->rend()) {
            return &*it;
        }
    }
    return nullptr;
}

void message_fragmenter::abort(const attempt_id& attempt) {
    const auto is_match = [&](const large_message& it) { return it.content.attempt == attempt; };
    if (const auto it = std::ranges::find_if(m_waiting, is_match); it != m_waiting.end()) {
        release_followers(*it);
        m_queued_bytes -= it->bytes_left();
        m_waiting.erase(it);
        return;
    }
    const auto it = std::ranges::find_if(m_open, is_match);
    if (it == m_open.end()) {
        return;
    }
    if (it->number != 0) {
        std::string frame;
        append_header(frame, {fragment_kind::abort, it->number, 0, 0, 0});
        push_small(std::move(frame));
    }
    release_followers(*it);
    remove(it);
}

void message_fragmenter::release_followers(large_message& message) {
    for (auto& it : std::exchange(message.followers, {})) {
        m_queued_bytes -= it.size();
        push_small(std::move(it));
    }
}

std::optional<std::string> message_fragmenter::next_small_frame() {
    if (m_small_frames.empty()) {
        return std::nullopt;
    }
    std::string frame = std::move(m_small_frames.front());
    m_small_frames.pop_front();
    m_queued_bytes -= frame.size();
    return frame;
}

std::optional<std::string> message_fragmenter::next_fragment() {
    if (m_open.empty()) {
        return std::nullopt;
    }
    auto& message = m_open.front();
    if (message.number == 0) {
        message.number = ++m_last_number;
    }
    const std::size_t sent_before = message.sent;
    std::string frame = make_fragment(message);
    m_queued_bytes -= message.sent - sent_before;

    if (message.sent == message.content.size()) {
        release_followers(message);
        remove(m_open.begin());
    } else {
        std::rotate(m_open.begin(), m_open.begin() + 1, m_open.end());
    }
    return frame;
}

void message_fragmenter::remove(const std::deque<large_message>::iterator& it) {
    m_queued_bytes -= it->bytes_left();
    m_open.erase(it);
    if (!m_waiting.empty()) {
        m_open.push_back(std::move(m_waiting.front()));
        m_waiting.pop_front();
    }
}

std::string message_fragmenter::make_fragment(large_message& message) {
    const auto& [head, body, attempt] = message.content;
    const std::size_t size = std::min(max_fragment_bytes, message.content.size() - message.sent);
    std::string frame;
    frame.reserve(fragment_header_bytes + size);
    append_header(frame, {fragment_kind::data, message.number, static_cast<std::uint32_t>(head.size()),
                          static_cast<std::uint32_t>(body ? body->size() : 0),
                          static_cast<std::uint32_t>(message.sent)});
    if (message.sent < head.size()) {
        frame.append(head, message.sent, size);
    }
    const std::size_t rest = fragment_header_bytes + size - frame.size();
    if (rest > 0) {
        frame.append(*body, message.sent + size - rest - head.size(), rest);
    }
    message.sent += size;
    return frame;
}

void message_fragmenter::clear() {
    m_open.clear();
    m_waiting.clear();
    m_small_frames.clear();
    m_queued_bytes = 0;
}

} // namespace cornelpier
