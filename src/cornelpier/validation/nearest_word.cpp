#include "cornelpier/validation/nearest_word.hpp"

#include <algorithm>
#include <cstddef>
#include <limits>
#include <numeric>

namespace cornelpier {

namespace {

/// Keys of a malicious document can be long; only this prefix is compared, which bounds the cost.
constexpr std::size_t max_compared_length = 64;

std::size_t edit_distance(std::string_view left, std::string_view right) {
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});

    for (std::size_t i = 0; i < left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < right.size(); ++j) {
            const std::size_t replaced = diagonal + (left[i] == right[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({replaced, row[j] + 1, row[j + 1] + 1});
        }
    }
    return row.back();
}

} // namespace

std::string nearest_word(std::string_view word, const std::vector<std::string>& known) {
    std::string nearest;
    std::size_t smallest = std::numeric_limits<std::size_t>::max();

    for (const auto& it : known) {
        const auto distance = edit_distance(word.substr(0, max_compared_length), it);
        if (distance < smallest) {
            smallest = distance;
            nearest = it;
        }
    }
    return nearest;
}

} // namespace cornelpier
