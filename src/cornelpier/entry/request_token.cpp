#include "cornelpier/entry/request_token.hpp"

#include "cornelpier/base/hexadecimal.hpp"

#include <charconv>
#include <cstdint>
#include <limits>

namespace cornelpier {

namespace {

constexpr int hexadecimal = 16;

/// Removes the last dot-separated field from the text.
/// @return its value, or nothing if it is not a hexadecimal number.
std::optional<std::uint64_t> pop_hexadecimal(std::string_view& text) {
    const auto dot = text.rfind('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view field = text.substr(dot + 1);
    text = text.substr(0, dot);

    std::uint64_t value = 0;
    const auto* const end = field.data() + field.size();
    const auto [position, ec] = std::from_chars(field.data(), end, value, hexadecimal);
    if (field.empty() || ec != std::errc{} || position != end) {
        return std::nullopt;
    }
    return value;
}

} // namespace

std::string to_string(const request_token& token) {
    return token.owner.value() + '.' + to_hexadecimal(token.owner_incarnation.value()) + '.' +
           to_hexadecimal(token.attempt.request.entry.value()) + '.' +
           to_hexadecimal(token.attempt.request.sequence) + '.' + to_hexadecimal(token.attempt.number);
}

std::optional<request_token> parse_request_token(std::string_view text) {
    const auto number = pop_hexadecimal(text);
    const auto sequence = pop_hexadecimal(text);
    const auto entry = pop_hexadecimal(text);
    const auto owner_incarnation = pop_hexadecimal(text);
    if (!number || !sequence || !entry || !owner_incarnation || text.empty()) {
        return std::nullopt;
    }
    if (*number > std::numeric_limits<std::uint32_t>::max()) {
        return std::nullopt;
    }
    const request_id request{incarnation{*entry}, *sequence};
    return request_token{target_id{std::string{text}}, incarnation{*owner_incarnation},
                         attempt_id{request, static_cast<std::uint32_t>(*number)}};
}

} // namespace cornelpier
