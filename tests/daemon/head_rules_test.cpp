#include "daemon/caller/caller_progress.hpp"
#include "daemon/caller/head_rules.hpp"

#include <catch2/catch.hpp>

#include <memory>

namespace cornelpier {

namespace {

shared_fleet_view make_view(bool with_routes) {
    auto current = std::make_shared<plan>();
    current->services.push_back({});
    current->services.back().id = service_id{"comenzi"};
    if (with_routes) {
        route only;
        only.name = "r-1";
        only.host = "a.example";
        only.path_prefix = "/l/";
        current->routes = std::make_shared<const route_table>(std::vector{only});
    }
    auto view = std::make_shared<fleet_view>();
    view->current_plan = std::move(current);
    return view;
}

validated_head make_head(const std::string& host, const std::string& path) {
    validated_head head;
    head.service = service_id{host.substr(0, host.find('.'))};
    head.host = host;
    head.request.path = path;
    return head;
}

} // namespace

TEST_CASE("header fields are counted without the request line and the empty line", "[memory]") {
    CHECK(count_fields("GET / HTTP/1.1\r\n\r\n") == 0);
    CHECK(count_fields("GET / HTTP/1.1\r\nHost: a\r\nb:\r\n\r\n") == 2);
    CHECK(count_fields("") == 0);
}

// Guards against bodies that are read although their request has no destination.
TEST_CASE("a request without a destination is answered from its head", "[memory]") {
    CHECK_FALSE(refuse_from_head(make_head("comenzi", "/"), make_view(false)));
    const auto unknown = refuse_from_head(make_head("nowhere", "/"), make_view(false));
    REQUIRE(unknown);
    CHECK(unknown->response.status == 404);
    CHECK(unknown->outcome == verdict::not_run);

    CHECK_FALSE(refuse_from_head(make_head("a.example", "/l/1"), make_view(true)));
    CHECK(refuse_from_head(make_head("a.example", "/x"), make_view(true)));
    CHECK(refuse_from_head(make_head("b.example", "/l/1"), make_view(true)));

    const auto early = refuse_from_head(make_head("comenzi", "/"), nullptr);
    REQUIRE(early);
    CHECK(early->response.status == 503);
}

// Guards against "not run" for a key whose earlier request may have run.
TEST_CASE("a request with a key is left to the decision core", "[memory]") {
    auto head = make_head("nowhere", "/");
    head.key = "k-1";
    CHECK_FALSE(refuse_from_head(head, make_view(false)));
    CHECK_FALSE(refuse_from_head(head, nullptr));
}

TEST_CASE("a caller is stalled only while the connection waits for it", "[memory]") {
    caller_progress progress;
    const auto now = caller_progress::clock::now();
    progress.advance(now);
    CHECK_FALSE(progress.stalled(now + caller_progress::idle_stall_time));
    progress.set_wait(caller_wait::action);
    CHECK(progress.stalled(now + caller_progress::stall_time));
    CHECK_FALSE(progress.stalled(now + caller_progress::stall_time / 2));
    progress.advance(now + caller_progress::stall_time);
    CHECK_FALSE(progress.stalled(now + caller_progress::stall_time));
}

// Guards against closing connections that well-behaved callers keep for their next request.
TEST_CASE("an idle connection counts as stalled only after callers no longer reuse it", "[memory]") {
    caller_progress progress;
    const auto now = caller_progress::clock::now();
    progress.advance(now);
    progress.set_wait(caller_wait::request);
    CHECK_FALSE(progress.stalled(now + std::chrono::seconds{12}));
    CHECK(progress.stalled(now + caller_progress::idle_stall_time));
}

} // namespace cornelpier
