#include "cornelpier/membership/relay_tree.hpp"

#include <algorithm>
#include <utility>

namespace cornelpier {

namespace {

/// @param order nodes in level order.
std::vector<target_id> children_in(const std::vector<target_id>& order, const target_id& self) {
    const auto position = static_cast<std::size_t>(std::ranges::find(order, self) - order.begin());
    const std::size_t first = std::min(position * relay_tree::fan_out + 1, order.size());
    const std::size_t last = std::min(first + relay_tree::fan_out, order.size());
    return {order.begin() + static_cast<std::ptrdiff_t>(first),
            order.begin() + static_cast<std::ptrdiff_t>(last)};
}

} // namespace

void relay_tree::set_nodes(const target_id& self, const std::vector<target_id>& nodes, std::size_t leaving) {
    std::vector<target_id> order = nodes;
    m_below_roots.clear();
    if (order.size() > 2) {
        const auto first = order.begin() + 1;
        // The second relay is the last one, and thereby the root of the reverse order.
        std::rotate(first, first + 1, order.end());
        const auto last = order.end() - 1;
        // The nodes in the middle are leaves of both trees.
        const auto leaving_count = static_cast<std::ptrdiff_t>(std::min(leaving, order.size() - 2));
        const auto middle = first + (last - first - leaving_count) / 2;
        std::rotate(middle, last - leaving_count, last);
        m_below_roots.assign(first, last);
    }
    m_children[static_cast<std::size_t>(relay_route::first)] = children_in(order, self);
    const bool is_first_root = !order.empty() && order.front() == self;
    std::ranges::reverse(order);
    m_children[static_cast<std::size_t>(relay_route::second)] = children_in(order, self);
    const bool is_second_root = !order.empty() && order.front() == self;
    m_own_route = is_first_root    ? relay_route::first
                  : is_second_root ? relay_route::second
                                   : relay_route::direct;
}

} // namespace cornelpier
