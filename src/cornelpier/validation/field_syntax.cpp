#include "cornelpier/validation/field_syntax.hpp"

#include <algorithm>

namespace cornelpier {

namespace {

bool is_token_character(char c) {
    constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
           punctuation.find(c) != std::string_view::npos;
}

bool is_control_character(char c) {
    const auto byte = static_cast<unsigned char>(c);
    return byte < ' ' || byte == '\x7f';
}

} // namespace

bool is_token(std::string_view text) {
    return !text.empty() && std::ranges::all_of(text, is_token_character);
}

bool is_field_value(std::string_view text) {
    return std::ranges::none_of(text, [](char c) { return is_control_character(c) && c != '\t'; });
}

} // namespace cornelpier
