#include "cornelpier/validation/request_syntax.hpp"

#include <algorithm>

namespace cornelpier {

namespace {

bool is_token_character(char c) {
    constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
           punctuation.find(c) != std::string_view::npos;
}

} // namespace

bool is_host_label(std::string_view label) {
    return !label.empty() && std::ranges::all_of(label, is_host_label_character);
}

bool is_target_prefix(std::string_view text) {
    return text.starts_with('/') && std::ranges::all_of(text, is_target_character);
}

bool is_method(std::string_view method) {
    return !method.empty() && std::ranges::all_of(method, is_token_character);
}

} // namespace cornelpier
