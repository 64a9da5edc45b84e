#include "cornelpier/membership/relay_tree.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <set>
#include <string>

namespace cornelpier {

namespace {

std::vector<target_id> nodes_of(std::size_t count) {
    std::vector<target_id> nodes;
    for (std::size_t n = 0; n < count; ++n) {
        nodes.push_back(target_id{"n" + std::to_string(n)});
    }
    return nodes;
}

relay_tree tree_of(const target_id& self, const std::vector<target_id>& nodes) {
    relay_tree tree;
    tree.set_nodes(self, nodes);
    return tree;
}

/// @return the nodes that an update of the root reaches along a tree, the root included.
std::set<target_id> reached(const std::vector<target_id>& nodes, relay_route route,
                            const std::optional<target_id>& gone) {
    const auto root =
        std::ranges::find_if(nodes, [&](const auto& it) { return tree_of(it, nodes).own_route() == route; });
    std::set<target_id> result;
    std::vector<target_id> pending{*root};
    while (!pending.empty()) {
        const auto node = pending.back();
        pending.pop_back();
        if (node == gone || !result.insert(node).second) {
            continue;
        }
        const auto tree = tree_of(node, nodes);
        pending.insert(pending.end(), tree.children(route).begin(), tree.children(route).end());
    }
    return result;
}

} // namespace

TEST_CASE("both trees reach all nodes of a data centre with a few copies a node", "[membership]") {
    const auto count = GENERATE(std::size_t{6}, 7, 24, 110, 320);
    const auto nodes = nodes_of(count);
    for (const auto route : {relay_route::first, relay_route::second}) {
        CHECK(reached(nodes, route, std::nullopt).size() == count);
        for (const auto& it : nodes) {
            CHECK(tree_of(it, nodes).children(route).size() <= relay_tree::fan_out);
        }
    }
    CHECK(tree_of(nodes[0], nodes).own_route() == relay_route::first);
    CHECK(tree_of(nodes[1], nodes).own_route() == relay_route::second);
    CHECK(tree_of(nodes[2], nodes).own_route() == relay_route::direct);
}

TEST_CASE("a node that is gone keeps no update from the others", "[membership]") {
    const auto count = GENERATE(std::size_t{6}, 24, 110);
    const auto nodes = nodes_of(count);
    for (const auto& gone : nodes) {
        auto all = reached(nodes, relay_route::first, gone);
        all.merge(reached(nodes, relay_route::second, gone));
        CHECK(all.size() == count - 1);
    }
}

TEST_CASE("nodes that leave pass on nothing as long as the others suffice", "[membership]") {
    const auto nodes = nodes_of(24);
    constexpr std::size_t leaving = 12;
    for (std::size_t n = nodes.size() - leaving; n < nodes.size(); ++n) {
        relay_tree tree;
        tree.set_nodes(nodes[n], nodes, leaving);
        CHECK(tree.children(relay_route::first).empty());
        CHECK(tree.children(relay_route::second).empty());
    }
}

TEST_CASE("a node that is not listed passes on nothing", "[membership]") {
    const auto tree = tree_of(target_id{"unlisted"}, nodes_of(24));
    CHECK(tree.own_route() == relay_route::direct);
    CHECK(tree.children(relay_route::first).empty());
    CHECK(tree.children(relay_route::second).empty());
    CHECK(tree.children(relay_route::direct).empty());
}

TEST_CASE("trees over fewer nodes than before keep none of the others", "[membership]") {
    const auto nodes = nodes_of(24);
    relay_tree tree;
    tree.set_nodes(nodes[0], nodes);
    CHECK(tree.nodes_below_roots().size() == nodes.size() - 2);
    tree.set_nodes(nodes[0], {nodes[0], nodes[1]});
    CHECK(tree.nodes_below_roots().empty());
    CHECK(tree.children(relay_route::first) == std::vector{nodes[1]});
}

} // namespace cornelpier
