#pragma once

#include <string_view>

namespace cornelpier {

/// @return whether the text is a token of HTTP, as methods and the names of fields are.
bool is_token(std::string_view text);

/// @return whether the text can be the value of a field: no control byte except the tab.
bool is_field_value(std::string_view text);

} // namespace cornelpier
