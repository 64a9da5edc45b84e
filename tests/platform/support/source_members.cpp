#include "tests/platform/support/source_members.hpp"

#include "cornelpier/membership/reader_roles.hpp"

#include "tests/platform/support/source_documents.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace cornelpier::test {

bool source_members::is_relay(const std::string& node) const {
    return std::ranges::find(relays, node) != relays.end();
}

source_members with_roles(std::vector<std::string> nodes) {
    std::vector<reader_candidate> candidates;
    for (const auto& it : nodes) {
        candidates.push_back({target_id{it}, data_centre_id{test_data_centre}});
    }
    source_members members{std::move(nodes), {}, {}};
    for (const auto& it : members.nodes) {
        reader_roles roles{target_id{it}, data_centre_id{test_data_centre}, propagation_limit};
        roles.set_members(candidates);
        if (roles.is_reader()) {
            members.reader = it;
        }
        if (roles.is_relay()) {
            members.relays.push_back(it);
        }
    }
    return members;
}

source_members find_members(std::size_t count, const std::function<bool(const source_members&)>& accept) {
    constexpr int last_host = 250;
    const auto step = static_cast<int>(count);
    for (int first = 1; first + step <= last_host; ++first) {
        std::vector<std::string> nodes;
        for (int n = 0; n < step; ++n) {
            nodes.push_back(loopback_address(first + n));
        }
        auto members = with_roles(std::move(nodes));
        if (accept(members)) {
            return members;
        }
    }
    throw std::runtime_error("no group of addresses has the required roles");
}

} // namespace cornelpier::test
