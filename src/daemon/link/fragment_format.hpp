#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cornelpier {

/// Largest encoded message that is sent in one frame, in bytes. Larger ones are sent in fragments.
inline constexpr std::size_t max_whole_message_bytes = std::size_t{32} * 1024;

/// Largest part of a message in one fragment, in bytes. At 10 Mbit/s it delays other messages by 13 ms.
inline constexpr std::size_t max_fragment_bytes = std::size_t{16} * 1024;

/// Largest number of messages of which one side of a link has sent some fragments but not all.
inline constexpr std::size_t max_open_messages = 16;

/// Purpose of a fragment. The first byte of a fragment differs from that of a message, which is a CBOR array.
enum class fragment_kind : std::uint8_t {
    data,
    abort, ///< The sender drops the message, of which it has sent a part.
};

/// Header of a fragment. A message consists of a head, which is the encoded message without its body, and a
/// body, which may be empty. The sizes are the same in all fragments of a message.
struct fragment_header {
    fragment_kind kind = fragment_kind::data;
    std::uint32_t message = 0; ///< Number of the message on its link and direction; rises from 1.
    std::uint32_t head_size = 0;
    std::uint32_t body_size = 0;
    std::uint32_t offset = 0; ///< Position of the data in head and body.
};

/// Size of an encoded fragment header, in bytes.
inline constexpr std::size_t fragment_header_bytes = 17;

/// @return true if a frame is a fragment rather than a whole message.
bool is_fragment(std::string_view frame);

/// Appends the encoded header to a frame.
void append_header(std::string& frame, const fragment_header& header);

/// @return the header at the start of a frame, or nothing if the frame is too short or its kind is unknown.
std::optional<fragment_header> parse_header(std::string_view frame);

} // namespace cornelpier
