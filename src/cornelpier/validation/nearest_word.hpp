#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace cornelpier {

/// @param word a word that is not among the known ones.
/// @param known candidates.
/// @return the candidate with the smallest edit distance, the first one of equals; empty if there is none.
std::string nearest_word(std::string_view word, const std::vector<std::string>& known);

} // namespace cornelpier
