#include "daemon/link/fragment_format.hpp"

#include <boost/endian/conversion.hpp>

namespace cornelpier {

namespace {

constexpr std::size_t number_bytes = sizeof(std::uint32_t);

void append_number(std::string& frame, std::uint32_t value) {
    const std::uint32_t encoded = boost::endian::native_to_big(value);
    frame.append(reinterpret_cast<const char*>(&encoded), number_bytes);
}

std::uint32_t number_at(std::string_view frame, std::size_t position) {
    return boost::endian::load_big_u32(reinterpret_cast<const unsigned char*>(frame.data()) + position);
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
