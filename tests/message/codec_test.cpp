#include "cornelpier/message/codec.hpp"

#include <catch2/catch.hpp>

#include <limits>

namespace cornelpier {

namespace {

run_request example_run() {
    run_request message;
    message.attempt = {{incarnation{0xfedcba9876543210ULL}, 7}, 2};
    message.service = service_id{"comenzi"};
    message.request = {
        "POST", "/orders", {{"content-type", "text/plain"}}, make_body(std::string("a\0b\xff", 4))};
    message.priority = request_class::order;
    message.permit = run_permit{incarnation{9}, time_point{duration{123456}}};
    message.key = "key-1";
    message.wait_limit = duration{2500};
    message.remaining = std::chrono::milliseconds{800};
    message.depth = 3;
    message.rate_limit = rate{4.7};
    return message;
}

template <typename Message>
Message round_trip(const Message& message) {
    const auto outcome = decode(encode(traffic_message{message}));
    REQUIRE(has_value(outcome));
    return std::get<Message>(std::get<traffic_message>(std::get<node_message>(outcome)));
}

} // namespace

TEST_CASE("a run request is decoded with all fields, including a binary body", "[codec]") {
    const run_request sent = example_run();
    const run_request received = round_trip(sent);

    CHECK(received.attempt == sent.attempt);
    CHECK(received.service == sent.service);
    CHECK(received.request.fields == sent.request.fields);
    CHECK(*received.request.body == *sent.request.body);
    CHECK(received.permit == sent.permit);
    CHECK(received.key == sent.key);
    CHECK(received.wait_limit == sent.wait_limit);
    CHECK(received.remaining == sent.remaining);
    CHECK(received.rate_limit == sent.rate_limit);
}

TEST_CASE("an update about suspects is decoded with all fields and stays small", "[codec]") {
    suspect_update sent{service_id{"comenzi"}, {}};
    for (std::uint64_t n = 0; n < 32; ++n) {
        suspect_notice notice;
        notice.fingerprint = {~n, ~(2 * n)};
        notice.crashes = {{incarnation{~n}, n}};
        notice.quarantine_left = std::chrono::seconds{n};
        notice.quarantine_length = std::chrono::seconds{60};
        notice.cleared = n == 3;
        sent.suspects.push_back(notice);
    }
    const suspect_update received = round_trip(sent);
    CHECK(received.service == sent.service);
    REQUIRE(received.suspects.size() == sent.suspects.size());
    for (std::size_t n = 0; n < sent.suspects.size(); ++n) {
        CHECK(received.suspects[n].fingerprint == sent.suspects[n].fingerprint);
        CHECK(received.suspects[n].crashes == sent.suspects[n].crashes);
        CHECK(received.suspects[n].quarantine_left == sent.suspects[n].quarantine_left);
        CHECK(received.suspects[n].quarantine_length == sent.suspects[n].quarantine_length);
        CHECK(received.suspects[n].cleared == sent.suspects[n].cleared);
    }
    // One end of a server names 32 suspects at most.
    CHECK(encode(traffic_message{sent}).size() <= 2048);
}

TEST_CASE("a run response without an HTTP response is decoded without one", "[codec]") {
    run_response sent;
    sent.outcome = verdict::not_run;
    sent.reason = refusal::wait_limit;
    sent.load = load_reading{};
    sent.load->state = node_state::draining;

    const run_response received = round_trip(sent);
    CHECK(received.outcome == verdict::not_run);
    CHECK(received.reason == refusal::wait_limit);
    CHECK_FALSE(received.response.has_value());
    CHECK(received.load->state == node_state::draining);
}

// An owner never sends such a response: its bytes would reach the caller as they are.
TEST_CASE("a run response with an invalid status or field is rejected", "[codec][broken-responses]") {
    const auto is_accepted = [](int status, const std::string& name, const std::string& value) {
        run_response message;
        message.response = http_response{status, {{"a", "b"}, {name, value}}, make_body("body")};
        return has_value(decode(encode(traffic_message{message})));
    };
    for (const int status : {-1, 0, 99, 100, 101, 199, 600, 999, 1000}) {
        INFO(status);
        CHECK_FALSE(is_accepted(status, "c", "d"));
    }
    for (const int status : {200, 404, 503, 599}) {
        INFO(status);
        CHECK(is_accepted(status, "c", "d"));
    }
    const std::string control_bytes("\0\x01\n\r\x1f\x7f", 6);
    for (const char byte : control_bytes + "\t :") {
        INFO(static_cast<int>(byte));
        for (const std::size_t position : {0, 1, 2}) {
            CHECK_FALSE(is_accepted(200, std::string{"cd"}.insert(position, 1, byte), "e"));
            CHECK(is_accepted(200, "c", std::string{"de"}.insert(position, 1, byte)) ==
                  (control_bytes.find(byte) == std::string::npos));
        }
    }
    CHECK_FALSE(is_accepted(200, "", "d"));
    CHECK(is_accepted(200, "c", ""));
    CHECK(is_accepted(200, "c", "\xc3\xa9"));
}

TEST_CASE("a rate that is negative or not finite is rejected", "[codec]") {
    for (const double value :
         {-1.0, std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN()}) {
        load_reading reading;
        reading.rate_limit = rate{value};
        CHECK_FALSE(has_value(decode(encode(traffic_message{reading}))));
    }
}

TEST_CASE("truncated messages are rejected, and changed bytes do not cause exceptions", "[codec]") {
    const std::string bytes = encode(traffic_message{example_run()});

    for (std::size_t n = 0; n < bytes.size(); ++n) {
        CHECK_FALSE(has_value(decode(std::string_view{bytes}.substr(0, n))));

        std::string changed = bytes;
        changed[n] = static_cast<char>(changed[n] ^ 0x5a);
        CHECK_NOTHROW(decode(changed));
    }
}

TEST_CASE("gossip with 16 member records fits into a datagram", "[codec]") {
    gossip message;
    message.from = target_id{"comenzi-data-centre-1-target-11"};
    for (std::uint64_t n = 0; n < 16; ++n) {
        message.members.push_back({target_id{"comenzi-data-centre-1-target-" + std::to_string(n)},
                                   incarnation{~n}, node_state::serving, std::chrono::seconds{30},
                                   vm_state::live, std::chrono::seconds{30}});
    }
    CHECK(encode(control_message{message}).size() <= 1400);
}

} // namespace cornelpier
