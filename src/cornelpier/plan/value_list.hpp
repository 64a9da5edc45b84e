#pragma once

#include <string>
#include <utility>
#include <vector>

namespace cornelpier {

/// Names and values of an entry of a plan as text, in a fixed order.
using value_list = std::vector<std::pair<std::string, std::string>>;

/// @return `name value, name value`.
std::string join_values(const value_list& values);

/// @param before, after values of the same kind of entry.
/// @return `name before -> after` of the values that differ, separated by commas; empty if none differs.
std::string join_differences(const value_list& before, const value_list& after);

} // namespace cornelpier
