#include "cornelpier/membership/reader_roles.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

namespace cornelpier {

namespace {

constexpr duration silence_timeout = std::chrono::milliseconds{1300};

/// Data centres of the given sizes, named a, b, ...
std::vector<reader_candidate> region(const std::vector<std::size_t>& sizes) {
    std::vector<reader_candidate> result;
    char name = 'a';
    for (const auto size : sizes) {
        for (std::size_t n = 0; n < size; ++n) {
            const std::string prefix{name};
            result.push_back({target_id{prefix + std::to_string(n)}, data_centre_id{prefix}});
        }
        ++name;
    }
    return result;
}

reader_roles roles_of(const reader_candidate& self, const std::vector<reader_candidate>& members) {
    reader_roles roles{self.node, self.data_centre, silence_timeout};
    roles.set_members(members);
    return roles;
}

std::size_t count_if(const std::vector<reader_candidate>& members, bool (reader_roles::*has)() const) {
    return static_cast<std::size_t>(std::ranges::count_if(
        members, [&](const reader_candidate& it) { return (roles_of(it, members).*has)(); }));
}

/// @return the nodes that an update from the region's reader reaches, directly or through relays.
std::set<std::string> nodes_reached(const std::vector<reader_candidate>& members) {
    std::set<std::string> result;
    for (const auto& it : members) {
        const auto roles = roles_of(it, members);
        if (roles.is_reader()) {
            result.insert(it.node.value());
            for (const auto& recipient : roles.recipients()) {
                result.insert(recipient.value());
            }
        }
    }
    for (const auto& it : members) {
        if (!result.contains(it.node.value())) {
            continue;
        }
        const auto roles = roles_of(it, members);
        if (roles.is_relay()) {
            for (const auto& recipient : roles.recipients()) {
                result.insert(recipient.value());
            }
        }
    }
    return result;
}

} // namespace

TEST_CASE("one node of a region reads, and one or two relays of each data centre forward updates",
          "[membership]") {
    for (const auto& sizes : std::vector<std::vector<std::size_t>>{{1}, {5}, {6}, {3, 40, 12}}) {
        const auto members = region(sizes);
        CHECK(count_if(members, &reader_roles::is_reader) == 1);
        std::size_t relays = 0;
        for (const auto size : sizes) {
            relays += size >= reader_roles::two_relay_min_nodes ? 2 : 1;
        }
        CHECK(count_if(members, &reader_roles::is_relay) == relays);
        CHECK(nodes_reached(members).size() == members.size());
    }
}

TEST_CASE("nodes that leave are neither reader nor relay but receive updates", "[membership]") {
    auto members = region({8, 8});
    const auto has_role = [&](const reader_candidate& it) {
        const auto roles = roles_of(it, members);
        return roles.is_reader() || roles.is_relay();
    };
    for (auto& it : members) {
        it.leaving = has_role(it);
    }
    CHECK(std::ranges::none_of(members,
                               [&](const reader_candidate& it) { return it.leaving && has_role(it); }));
    CHECK(count_if(members, &reader_roles::is_reader) == 1);
    CHECK(count_if(members, &reader_roles::is_relay) == 4);
    CHECK(nodes_reached(members).size() == members.size());

    for (auto& it : members) {
        it.leaving = true;
    }
    CHECK(count_if(members, &reader_roles::is_reader) == 1);
    CHECK(count_if(members, &reader_roles::is_relay) == 4);
}

TEST_CASE("the reader knows the roots of the trees of all data centres", "[membership]") {
    const auto members = region({3, 40, 12});
    for (const auto& it : members) {
        const auto roles = roles_of(it, members);
        if (roles.is_reader()) {
            CHECK(roles.updated_roots().size() == 5);
        }
        for (const auto& [root, route] : roles.updated_roots()) {
            const auto found = std::ranges::find(members, root, &reader_candidate::node);
            CHECK(roles_of(*found, members).tree().own_route() == route);
        }
    }
}

TEST_CASE("no node sends updates to more than a data centre and the relays of the others", "[membership]") {
    const auto members = region({190, 190, 190, 190, 200});
    for (const auto& it : members) {
        const auto roles = roles_of(it, members);
        CHECK(roles.recipients().size() <= 200 + 8);
        CHECK(std::ranges::find(roles.recipients(), it.node) == roles.recipients().end());
        CHECK((roles.is_reader() || roles.is_relay()) != roles.recipients().empty());
    }
}

TEST_CASE("a node without updates reads for itself, relays first", "[membership]") {
    const auto members = region({8});
    const time_point start{std::chrono::seconds{100}};
    for (const auto& it : members) {
        reader_roles roles{it.node, it.data_centre, silence_timeout};
        CHECK(roles.must_read(start));
        roles.set_members(members);
        roles.on_confirmed(start);
        if (roles.is_reader()) {
            CHECK(roles.must_read(start));
            continue;
        }
        const duration limit =
            roles.is_relay() ? silence_timeout - reader_roles::relay_lead : silence_timeout;
        CHECK_FALSE(roles.must_read(start + limit - duration{1}));
        CHECK(roles.must_read(start + limit));
    }
}

TEST_CASE("a node that is not in the member list gets no updates and reads", "[membership]") {
    reader_roles roles{target_id{"x"}, data_centre_id{"a"}, silence_timeout};
    roles.set_members(region({5}));
    CHECK_FALSE(roles.is_reader());
    CHECK_FALSE(roles.is_relay());
    CHECK(roles.recipients().empty());
    CHECK(roles.must_read(time_point{std::chrono::seconds{100}}));
}

} // namespace cornelpier
