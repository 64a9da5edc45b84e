#include "cornelpier/entry/traffic_splitter.hpp"

#include <catch2/catch.hpp>

#include <cmath>
#include <map>

namespace cornelpier {

namespace {

route split_route(std::uint32_t first, std::uint32_t second) {
    route result;
    result.name = "r";
    result.weighted_services = {{service_id{"old"}, first}, {service_id{"new"}, second}};
    return result;
}

} // namespace

TEST_CASE("each weighted service is within one request of its part after any number of requests",
          "[entry][routes]") {
    random_source random{3};
    traffic_splitter splitter;
    const route split = split_route(90, 10);
    double count = 0;
    for (int n = 1; n <= 1000; ++n) {
        count += splitter.pick(split, random) == service_id{"new"} ? 1 : 0;
        CHECK(std::abs(count - n * 0.1) <= 1.2);
    }
}

TEST_CASE("changed weights take effect at once", "[entry][routes]") {
    random_source random{3};
    traffic_splitter splitter;
    for (int n = 0; n < 100; ++n) {
        splitter.pick(split_route(90, 10), random);
    }
    int count = 0;
    for (int n = 0; n < 100; ++n) {
        count += splitter.pick(split_route(10, 90), random) == service_id{"new"} ? 1 : 0;
    }
    CHECK(count >= 89);
    CHECK(count <= 91);
}

TEST_CASE("a service with weight zero gets no requests", "[entry][routes]") {
    random_source random{3};
    traffic_splitter splitter;
    for (int n = 0; n < 50; ++n) {
        CHECK(splitter.pick(split_route(1, 0), random) == service_id{"old"});
    }
}

} // namespace cornelpier
