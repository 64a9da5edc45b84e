#include "platform/server_directory.hpp"

#include <catch2/catch.hpp>

namespace cornelpier::platform {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr time_point start{seconds{100}};

/// Between two reports of other nodes.
constexpr duration report_interval = milliseconds{1800};

std::string entry(const std::string& address, std::uint64_t sequence, const std::string& state = "ready",
                  std::uint64_t started_at_ms = 1) {
    return R"({"address":")" + address + R"(","born":)" + std::to_string(started_at_ms) +
           R"(,"info":{"service":"s","zone":"a","slots":9},"status":{"state":")" + state +
           R"(","sequence":)" + std::to_string(sequence) + R"(,"cold_left":"0ms"}})";
}

} // namespace

TEST_CASE("a report older than the known one is ignored", "[platform]") {
    server_directory directory;
    CHECK_FALSE(directory.put("servers/i-1", entry("10.0.0.1:80", 5, "draining")));
    CHECK_FALSE(directory.put("servers/i-1", entry("10.0.0.1:80", 4)));
    CHECK(directory.servers().at(0).draining);
    CHECK_FALSE(directory.put("servers/i-1", entry("10.0.0.1:80", 1, "ready", 2)));
    CHECK_FALSE(directory.servers().at(0).draining);
    CHECK_FALSE(directory.put("servers/i-1", entry("10.0.0.1:80", 9, "draining", 1)));
    CHECK_FALSE(directory.servers().at(0).draining);
}

TEST_CASE("of two servers at one address the one that started later is kept", "[platform]") {
    server_directory directory;
    directory.put("servers/i-2", entry("10.0.0.1:80", 1, "ready", 7));
    directory.put("servers/i-1", entry("10.0.0.1:80", 9, "ready", 3));
    REQUIRE(directory.servers().size() == 1);
    CHECK(directory.servers().at(0).instance == "i-2");
}

TEST_CASE("a server that was replaced at its address is not listed again when its successor leaves",
          "[platform][field-reports]") {
    server_directory directory;
    directory.on_contact(start);
    directory.put("servers/i-1", entry("10.0.0.1:80", 9, "ready", 3));
    directory.put("servers/i-2", entry("10.0.0.1:80", 1, "ready", 7));
    // The old entry has not expired yet, and its last report may still be in transit.
    directory.put("servers/i-1", entry("10.0.0.1:80", 10, "ready", 3));
    directory.on_contact(start + seconds{1});
    directory.on_deleted("servers/i-2", start + seconds{1});
    CHECK(directory.servers().empty());
}

TEST_CASE("an entry that cannot be decoded removes its own server only", "[platform]") {
    server_directory directory;
    directory.put("servers/i-1", entry("10.0.0.1:80", 1));
    CHECK(directory.put("servers/i-2", "nonsense"));
    CHECK(directory.servers().size() == 1);
    CHECK(directory.put("servers/i-1", "nonsense"));
    CHECK(directory.servers().empty());
}

TEST_CASE("a deleted entry is removed at once while the store responds", "[platform]") {
    server_directory directory;
    directory.on_contact(start);
    directory.put("servers/i-1", entry("10.0.0.1:80", 1));
    directory.on_contact(start + seconds{5});
    directory.on_deleted("servers/i-1", start + seconds{5});
    CHECK(directory.servers().empty());
}

TEST_CASE("an entry that a restored store lacks is kept until its server has had time to register again",
          "[platform][restored]") {
    server_directory directory;
    directory.on_contact(start);
    directory.put("servers/i-1", entry("10.0.0.1:80", 1));
    // The store was away for less time than entries take to expire.
    const time_point restored_at = start + milliseconds{200};
    directory.on_contact(restored_at);
    directory.on_restored(restored_at);
    directory.keep_only({}, restored_at);
    CHECK(directory.servers().size() == 1);
    CHECK(directory.has_missing());
    CHECK(directory.expire(restored_at) == restored_at + server_directory::re_registration_time);
    directory.expire(restored_at + server_directory::re_registration_time);
    CHECK(directory.servers().empty());
}

TEST_CASE("an older copy of the store does not bring back a server that has left", "[platform][restored]") {
    server_directory directory;
    directory.on_contact(start);
    directory.put("servers/i-1", entry("10.0.0.1:80", 5));
    directory.put("servers/i-2", entry("10.0.0.2:80", 5));
    directory.on_deleted("servers/i-1", start);
    directory.erase("servers/i-2", start);
    const time_point restored_at = start + seconds{3};
    directory.on_restored(restored_at);
    CHECK(directory.put_listed("servers/i-1", entry("10.0.0.1:80", 5), restored_at));
    CHECK(directory.put_listed("servers/i-2", entry("10.0.0.2:80", 4), restored_at));
    CHECK(directory.servers().empty());
    // A later report, or one of another process under the same name, is not from the copy.
    CHECK_FALSE(directory.put_listed("servers/i-1", entry("10.0.0.1:80", 6), restored_at));
    CHECK_FALSE(directory.put_listed("servers/i-2", entry("10.0.0.2:80", 1, "ready", 2), restored_at));
    CHECK(directory.servers().size() == 2);
}

TEST_CASE("a server that left is listed again if it registers again", "[platform][restored]") {
    server_directory directory;
    directory.on_contact(start);
    directory.put("servers/i-1", entry("10.0.0.1:80", 5));
    directory.on_deleted("servers/i-1", start);
    directory.on_restored(start + seconds{1});
    CHECK_FALSE(directory.put("servers/i-1", entry("10.0.0.1:80", 5)));
    directory.on_deleted("servers/i-1", start + seconds{4});
    const time_point settled_at = start + seconds{1} + server_directory::copy_settling_time;
    CHECK_FALSE(directory.put_listed("servers/i-1", entry("10.0.0.1:80", 5), settled_at));
    CHECK(directory.servers().size() == 1);
}

TEST_CASE("one failed call right after a relayed contact is not an outage", "[platform]") {
    server_directory directory;
    directory.on_contact(start);
    directory.put("servers/i-1", entry("10.0.0.1:80", 1));
    directory.on_relayed_contact(start + seconds{9}, true);
    directory.on_failure();
    directory.on_contact(start + seconds{10});
    directory.on_deleted("servers/i-1", start + seconds{10});
    CHECK(directory.servers().empty());
}

TEST_CASE("a relayed contact does not end an outage that this node observed", "[platform]") {
    server_directory directory;
    directory.on_contact(start);
    directory.put("servers/i-1", entry("10.0.0.1:80", 1));
    directory.on_failure();
    directory.on_relayed_contact(start + seconds{5}, false);
    directory.on_contact(start + seconds{5});
    directory.on_deleted("servers/i-1", start + seconds{5});
    CHECK(directory.servers().size() == 1);
}

// Guards against a node that keeps servers that have left since the store refused it alone.
TEST_CASE("calls that the store refuses to one node only are no outage", "[platform][refusal]") {
    for (duration heard_after = milliseconds{50}; heard_after <= report_interval;
         heard_after += milliseconds{50}) {
        server_directory directory{report_interval};
        directory.on_contact(start);
        directory.put("servers/i-1", entry("10.0.0.1:80", 1));
        directory.on_failure();
        const time_point heard_at = start + heard_after;
        directory.on_relayed_contact(heard_at, true);
        directory.on_failure();
        const time_point back = heard_at + report_interval - milliseconds{1};
        directory.on_contact(back);
        CHECK(directory.is_store_available(back));
        directory.on_deleted("servers/i-1", back);
        CHECK(directory.servers().empty());
    }
}

TEST_CASE("an outage that follows a refusal is noticed", "[platform][refusal]") {
    server_directory directory{report_interval};
    directory.on_contact(start);
    directory.put("servers/i-1", entry("10.0.0.1:80", 1));
    directory.on_failure();
    directory.on_relayed_contact(start + seconds{1}, true);
    const time_point back = start + seconds{1} + report_interval;
    // Another node was served first after the outage, and knows of it.
    directory.on_relayed_contact(back, false);
    directory.on_contact(back);
    CHECK_FALSE(directory.is_store_available(back));
    directory.on_deleted("servers/i-1", back);
    CHECK(directory.has_missing());
    CHECK(directory.is_store_available(back + server_directory::re_registration_time));
}

TEST_CASE("an entry that expired during an outage is kept until the re-registration time has passed",
          "[platform]") {
    server_directory directory;
    directory.on_contact(start);
    directory.put("servers/i-1", entry("10.0.0.1:80", 1));
    directory.put("servers/i-2", entry("10.0.0.2:80", 1));
    directory.put("servers/i-3", entry("10.0.0.3:80", 1, "draining"));
    directory.on_failure();
    const time_point back = start + seconds{4};
    directory.on_contact(back);
    directory.keep_only({}, back);

    // A server that was draining before the outage is removed at once.
    CHECK(directory.servers().size() == 2);
    CHECK(directory.has_missing());
    directory.put("servers/i-2", entry("10.0.0.2:80", 3));
    CHECK(directory.expire(back + seconds{1}) == back + server_directory::re_registration_time);
    CHECK(directory.servers().size() == 2);
    CHECK(directory.expire(back + server_directory::re_registration_time) == std::nullopt);
    CHECK_FALSE(directory.has_missing());
    REQUIRE(directory.servers().size() == 1);
    CHECK(directory.servers().at(0).instance == "i-2");
}

TEST_CASE("a single failed call is not an outage", "[platform]") {
    server_directory directory;
    directory.on_contact(start);
    directory.put("servers/i-1", entry("10.0.0.1:80", 1));
    directory.on_failure();
    directory.on_contact(start + milliseconds{300});
    directory.on_deleted("servers/i-1", start + milliseconds{300});
    CHECK(directory.servers().empty());
}

} // namespace cornelpier::platform
