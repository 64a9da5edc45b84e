#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace cornelpier::test {

/// Loopback addresses of nodes, with the roles that all of them derive from this list.
struct source_members {
    std::vector<std::string> nodes;
    std::string reader;
    std::vector<std::string> relays;

    [[nodiscard]] bool is_relay(const std::string& node) const;
};

/// @return the members and their roles.
source_members with_roles(std::vector<std::string> nodes);

/// @param accept selects the members by their roles.
/// @return the first accepted group of consecutive addresses.
source_members find_members(std::size_t count, const std::function<bool(const source_members&)>& accept);

} // namespace cornelpier::test
