#include "cornelpier/plan/value_list.hpp"

#include <algorithm>
#include <initializer_list>
#include <string_view>

namespace cornelpier {

namespace {

/// Appends a separator if the text is not empty, and the parts.
void append(std::string& text, std::initializer_list<std::string_view> parts) {
    text += text.empty() ? "" : ", ";
    for (const auto it : parts) {
        text += it;
    }
}

} // namespace

std::string join_values(const value_list& values) {
    std::string text;
    for (const auto& [name, value] : values) {
        append(text, {name, " ", value});
    }
    return text;
}

std::string join_differences(const value_list& before, const value_list& after) {
    std::string text;
    for (std::size_t n = 0; n < std::min(before.size(), after.size()); ++n) {
        if (before[n].second != after[n].second) {
            append(text, {before[n].first, " ", before[n].second, " -> ", after[n].second});
        }
    }
    return text;
}

} // namespace cornelpier
