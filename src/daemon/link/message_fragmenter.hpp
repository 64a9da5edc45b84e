#pragma once

#include "cornelpier/message/http_fields.hpp"
#include "cornelpier/message/traffic_messages.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace cornelpier {

/// A message as it is sent on a link.
struct outgoing_message {
    std::string head;                  ///< Encoded message, without its body if `body` is set.
    shared_body body = nullptr;        ///< Sent after the head without being copied before; null: none.
    std::optional<attempt_id> attempt; ///< The message concerns this attempt.

    /// @return bytes of head and body.
    [[nodiscard]] std::size_t size() const { return head.size() + (body ? body->size() : 0); }
};

/// Queue of the outgoing messages of a link. Messages above `max_whole_message_bytes` are cut into fragments;
/// the fragments of different messages alternate. Smaller messages overtake them, except those of the same
/// attempt, which keep their order. Not thread-safe.
class message_fragmenter {
  public:
    /// Adds a message.
    void push(outgoing_message message);

    /// Drops the large message of an attempt if it has not been sent completely, so that the peer never gets
    /// it.
    void abort(const attempt_id& attempt);

    /// @return the next frame that is sent regardless of what the socket takes, or nothing.
    std::optional<std::string> next_small_frame();

    /// @return the next fragment of a large message, or nothing.
    std::optional<std::string> next_fragment();

    /// @return whether fragments are left to be sent.
    [[nodiscard]] bool has_fragments() const { return !m_open.empty(); }

    /// @return bytes that are left to be sent, with the bodies referred to.
    [[nodiscard]] std::size_t queued_bytes() const { return m_queued_bytes; }

    /// Drops all messages.
    void clear();

  private:
    struct large_message {
        outgoing_message content;
        std::uint32_t number = 0; ///< 0 until the first fragment is sent.
        std::size_t sent = 0;
        std::vector<std::string> followers; ///< Small messages of the same attempt, sent after this one.

        [[nodiscard]] std::size_t bytes_left() const;
    };

    large_message* find(const attempt_id& attempt);
    void push_small(std::string frame);
    void release_followers(large_message& message);
    void remove(const std::deque<large_message>::iterator& it);
    static std::string make_fragment(large_message& message);

    std::deque<large_message> m_open;    ///< The first one sends the next fragment.
    std::deque<large_message> m_waiting; ///< Opened when another one is complete.
    std::deque<std::string> m_small_frames;
    std::uint32_t m_last_number = 0;
    std::size_t m_queued_bytes = 0;
};

} // namespace cornelpier
