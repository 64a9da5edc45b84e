#include "tests/large_messages/support/upload_fleet.hpp"
#include "tests/process/support/becomes_true.hpp"
#include "tests/process/support/http_call.hpp"

#include <catch2/catch.hpp>

namespace cornelpier {

namespace {

using namespace std::chrono_literals;
using test::upload_fleet;

constexpr std::size_t mib = std::size_t{1024} * 1024;

std::string pattern(std::size_t size) {
    std::string result(size, '\0');
    for (std::size_t n = 0; n < size; ++n) {
        result[n] = static_cast<char>(n / 255 + n);
    }
    return result;
}

} // namespace

// Bodies above 1 MiB got 413. A second copy of a body along the way ends a process with 160 MB together with
// what it holds for other callers: the bound allows one body of 64 MiB and 48 MiB of everything else.
TEST_CASE("bodies of 64 MiB are served with one copy in memory, and a larger one is refused",
          "[large-messages][process]") {
    upload_fleet fleet(64 * mib);
    REQUIRE(fleet.wait_until_serving());
    const auto idle_entry = fleet.peak_resident_bytes(upload_fleet::entry);
    const auto idle_owner = fleet.peak_resident_bytes(upload_fleet::owner);

    const std::string body = pattern(64 * mib);
    const auto response = fleet.call(test::post_request("/u/1", "a.example", body, upload_fleet::fields()));
    CHECK(response.status == 200);
    CHECK(response.body == upload_fleet::describe(body));

    constexpr std::size_t bound = 112 * mib;
    const auto check_memory = [&](const char* what) {
        const auto entry = fleet.peak_resident_bytes(upload_fleet::entry);
        const auto owner = fleet.peak_resident_bytes(upload_fleet::owner);
        WARN("peak resident bytes after the " << what << ": entry " << entry << " (idle " << idle_entry
                                              << "), owner " << owner << " (idle " << idle_owner << ")");
        CHECK(entry < bound);
        CHECK(owner < bound);
    };
    check_memory("upload");
    const auto stored = fleet.call(test::get_request("/d/67108864", "a.example", upload_fleet::fields()));
    CHECK(stored.status == 200);
    CHECK(stored.body == body);
    check_memory("download");

    // The refusal does not wait for the body.
    const auto refused = fleet.call("POST /u/2 HTTP/1.1\r\nHost: a.example\r\nContent-Length: " +
                                    std::to_string(64 * mib + 1) + "\r\n" + upload_fleet::fields() + "\r\n");
    CHECK(refused.status == 413);
    CHECK(fleet.call(test::post_request("/u/3", "a.example", "x", upload_fleet::fields())).status == 200);
}

// Without a length, the limit can only be enforced while the body arrives.
TEST_CASE("the body limit of the plan holds for chunked bodies", "[large-messages][process]") {
    upload_fleet fleet(2 * mib);
    REQUIRE(fleet.wait_until_serving());
    const auto chunked = [](const std::string& body) {
        return "POST /u/1 HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n" +
               upload_fleet::fields() + "\r\n200000\r\n" + body;
    };
    const std::string body = pattern(2 * mib);
    const auto response = fleet.call(chunked(body) + "\r\n0\r\n\r\n");
    CHECK(response.status == 200);
    CHECK(response.body == upload_fleet::describe(body));
    CHECK(fleet.call(chunked(body) + "\r\n1\r\nx\r\n0\r\n\r\n").status == 413);
}

TEST_CASE("downloads of 540 KB arrive complete and equal", "[large-messages][process]") {
    upload_fleet fleet(64 * mib);
    REQUIRE(fleet.wait_until_serving());
    for (int n = 0; n < 5; ++n) {
        const auto response = fleet.call(test::get_request("/d/552960", "a.example", upload_fleet::fields()));
        CHECK(response.status == 200);
        CHECK(response.body == pattern(552'960));
    }
    CHECK(fleet.metric(upload_fleet::entry, "cornelpier_link_assembly_bytes") == "0");
}

} // namespace cornelpier
