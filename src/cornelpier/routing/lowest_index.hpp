#pragma once

#include "cornelpier/base/random_source.hpp"

#include <cstddef>
#include <span>

namespace cornelpier {

/// @param items at least one.
/// @param value projection of an item to the compared value.
/// @return index of an item with the lowest value; ties are broken at random.
template <typename Item, typename Value>
std::size_t lowest_index(std::span<const Item> items, random_source& random, Value value) {
    std::size_t best = 0;
    std::size_t ties = 1;

    for (std::size_t i = 1; i < items.size(); ++i) {
        const auto current = value(items[i]);
        const auto lowest = value(items[best]);
        if (current < lowest) {
            best = i;
            ties = 1;
            continue;
        }
        if (current == lowest && random.below(++ties) == 0) {
            best = i;
        }
    }
    return best;
}

} // namespace cornelpier
