#pragma once

#include "cornelpier/base/ids.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace cornelpier {

/// Tree along which an update is passed on.
enum class relay_route : std::uint8_t {
    direct, ///< Not passed on: the sender reaches all recipients itself.
    first,  ///< The tree of the relay of the highest rank.
    second, ///< The tree of the other relay, with all nodes in reverse order.
};

/// Two trees over the nodes of a data centre, along which large updates are passed on, so that no node sends
/// more than a few copies however many nodes there are. A node that passes on updates in one tree is a leaf
/// of the other one, so that a single node that is gone keeps no update from another node.
class relay_tree {
  public:
    /// Nodes to which a node passes on an update.
    static constexpr std::size_t fan_out = 4;

    /// Recomputes the trees.
    /// @param self this node.
    /// @param nodes all nodes of its data centre by descending rank; the first two are the relays.
    /// @param leaving number of nodes at the end of the list that leave. They are leaves of both trees if the
    /// others suffice.
    void set_nodes(const target_id& self, const std::vector<target_id>& nodes, std::size_t leaving = 0);

    /// @return nodes to which this node passes on an update of that tree; none for `relay_route::direct`.
    [[nodiscard]] const std::vector<target_id>& children(relay_route route) const {
        return m_children.at(static_cast<std::size_t>(route));
    }

    /// @return the nodes that are not the root of a tree.
    [[nodiscard]] const std::vector<target_id>& nodes_below_roots() const { return m_below_roots; }

    /// @return tree of which this node is the root; `relay_route::direct` if there is none.
    [[nodiscard]] relay_route own_route() const { return m_own_route; }

  private:
    std::array<std::vector<target_id>, 3> m_children; ///< By route.
    std::vector<target_id> m_below_roots;
    relay_route m_own_route = relay_route::direct;
};

} // namespace cornelpier
