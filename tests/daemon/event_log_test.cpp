#include "daemon/log/event_formatter.hpp"
#include "daemon/log/event_rate_limiter.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace cornelpier {

using namespace std::chrono_literals;

TEST_CASE("at most 10 events per number and second are written and the others are counted", "[log]") {
    event_rate_limiter limiter;
    const time_point start{};
    int written = 0;
    for (int n = 0; n < 25; ++n) {
        written += limiter.admit(event_number::bad_request, start + n * 1ms) ? 1 : 0;
    }
    CHECK(written == 10);
    CHECK(limiter.admit(event_number::link_lost, start + 30ms) == 0);
    CHECK(limiter.take_suppressed(start + 500ms).empty());
    CHECK(limiter.admit(event_number::bad_request, start + 1s) == 15);
}

TEST_CASE("suppressed events are reported even if no further event follows", "[log]") {
    event_rate_limiter limiter;
    for (int n = 0; n < 12; ++n) {
        limiter.admit(event_number::bad_request, time_point{});
    }
    const auto suppressed = limiter.take_suppressed(time_point{1s});
    REQUIRE(suppressed.size() == 1);
    CHECK(suppressed[0].count == 2);
    CHECK(limiter.take_suppressed(time_point{2s}).empty());
}

TEST_CASE("a log entry is formatted as one line whatever its fields contain", "[log]") {
    const log_entry entry{std::chrono::system_clock::time_point{1'700'000'000'123'456us},
                          time_point{42us},
                          hybrid_timestamp{9},
                          7,
                          2,
                          {event_number::bad_request, {{"reason", "a \"b\"\n\xff"}}}};
    const event_formatter json_format(log_format::json, target_id{"comenzi-1"}, incarnation{255});
    const auto text = json_format.format(entry);
    CHECK(text.find('\n') == std::string::npos);

    const auto line = nlohmann::json::parse(text);
    CHECK(line["wall"] == "2023-11-14T22:13:20.123456Z");
    CHECK(line["monotonic_us"] == 42);
    CHECK(line["stamp"] == 9);
    CHECK(line["node"] == "comenzi-1");
    CHECK(line["incarnation"] == "ff");
    CHECK(line["sequence"] == 7);
    CHECK(line["severity"] == "debug");
    CHECK(line["number"] == 604);
    CHECK(line["name"] == "bad_request");
    CHECK(line["left_out"] == 2);
    CHECK(line["fields"]["reason"].get<std::string>().starts_with("a \"b\"\n"));

    const event_formatter text_format(log_format::text, target_id{"comenzi-1"}, incarnation{255});
    CHECK(text_format.format(entry).starts_with(
        "2023-11-14T22:13:20.123456Z 42 comenzi-1 ff 7 debug 604 bad_request reason=\"a \\\"b\\\"\\n"));
}

} // namespace cornelpier
