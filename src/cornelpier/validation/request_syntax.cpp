#include "cornelpier/validation/request_syntax.hpp"

#include <algorithm>

namespace cornelpier {

bool is_host_label(std::string_view label) {
    return !label.empty() && std::ranges::all_of(label, is_host_label_character);
}

bool is_target_prefix(std::string_view text) {
    return text.starts_with('/') && std::ranges::all_of(text, is_target_character);
}

} // namespace cornelpier
