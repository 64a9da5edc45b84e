#include "cornelpier/plan/route.hpp"

#include <catch2/catch.hpp>

namespace cornelpier {

namespace {

route make_route(const std::string& name, const std::string& host, const std::string& prefix) {
    route result;
    result.name = name;
    result.host = host;
    result.path_prefix = prefix;
    result.weighted_services = {{service_id{"s"}, 1}};
    return result;
}

std::string route_name(const route_table& table, std::string_view host, std::string_view path) {
    const route* it = table.find(host, path);
    return it == nullptr ? "" : it->name;
}

} // namespace

TEST_CASE("the route with the longest matching prefix of the host is found", "[plan][routes]") {
    const route_table table({make_route("all", "a.example", "/"), make_route("x", "a.example", "/x/"),
                             make_route("xy", "a.example", "/x/y/"), make_route("b", "b.example", "/b/")});
    CHECK(route_name(table, "a.example", "/x/y/1") == "xy");
    CHECK(route_name(table, "a.example", "/x/1") == "x");
    CHECK(route_name(table, "a.example", "/x") == "all");
    CHECK(route_name(table, "a.example", "/xy/1") == "all");
    CHECK(route_name(table, "b.example", "/x/1").empty());
    CHECK(route_name(table, "c.example", "/").empty());
    CHECK(table.size() == 4);
}

TEST_CASE("case and port of the host and the query are ignored", "[plan][routes]") {
    const route_table table({make_route("b", "B.example", "/b/")});
    CHECK(route_name(table, "b.EXAMPLE:8080", "/b/1?page=/c/") == "b");
    CHECK(route_name(table, "b.example", "/?x=/b/").empty());
}

} // namespace cornelpier
