#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace cornelpier {

/// Finds a suggestion for an unknown key.
/// @param word unknown key.
/// @param known valid keys.
/// @return the first valid key with the smallest edit distance; empty if there are no valid keys.
std::string nearest_word(std::string_view word, const std::vector<std::string>& known);

} // namespace cornelpier
