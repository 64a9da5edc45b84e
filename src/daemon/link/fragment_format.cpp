#include "daemon/link/fragment_format.hpp"

namespace cornelpier {

namespace {

constexpr std::size_t number_bytes = sizeof(std::uint32_t);
constexpr unsigned bits_per_byte = 8;
constexpr std::uint32_t byte_mask = 0xff;

void append_number(std::string& frame, std::uint32_t value) {
    for (unsigned n = number_bytes; n > 0; --n) {
        frame.push_back(static_cast<char>((value >> ((n - 1) * bits_per_byte)) & byte_mask));
    }
}

std::uint32_t number_at(std::string_view frame, std::size_t position) {
    std::uint32_t value = 0;
    for (const char it : frame.substr(position, number_bytes)) {
        value = (value << bits_per_byte) | static_cast<std::uint8_t>(it);
    }
    return value;
}

} // namespace

bool is_fragment(std::string_view frame) {
    return !frame.empty() &&
           static_cast<std::uint8_t>(frame.front()) <= static_cast<std::uint8_t>(fragment_kind::abort);
}

void append_header(std::string& frame, const fragment_header& header) {
    frame.push_back(static_cast<char>(header.kind));
    append_number(frame, header.message);
    append_number(frame, header.head_size);
    append_number(frame, header.body_size);
    append_number(frame, header.offset);
}

std::optional<fragment_header> parse_header(std::string_view frame) {
    if (frame.size() < fragment_header_bytes || !is_fragment(frame)) {
        return std::nullopt;
    }
    std::size_t position = 1;
    const auto next = [&] {
        const auto value = number_at(frame, position);
        position += number_bytes;
        return value;
    };
    fragment_header header;
    header.kind = static_cast<fragment_kind>(frame.front());
    header.message = next();
    header.head_size = next();
    header.body_size = next();
    header.offset = next();
    return header;
}

} // namespace cornelpier
