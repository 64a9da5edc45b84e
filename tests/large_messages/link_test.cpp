#include "cornelpier/message/codec.hpp"

#include "daemon/link/fragment_format.hpp"
#include "tests/daemon/support/raw_connection.hpp"
#include "tests/large_messages/support/link_peer.hpp"
#include "tests/large_messages/support/slow_relay.hpp"
#include "tests/process/support/becomes_true.hpp"

#include <catch2/catch.hpp>

namespace cornelpier {

namespace {

using namespace std::chrono_literals;
using test::link_peer;

constexpr std::size_t kib = 1024;
constexpr std::size_t slow_rate = 1'250'000; ///< 10 Mbit/s.

std::string pattern(std::size_t size) {
    std::string result(size, '\0');
    for (std::size_t n = 0; n < size; ++n) {
        result[n] = static_cast<char>(n / 255 + n);
    }
    return result;
}

run_request request_with_body(std::size_t size, std::uint64_t sequence = 1) {
    run_request message;
    message.attempt = {{incarnation{1}, sequence}, 1};
    message.remaining = 60s;
    message.request.body = make_body(pattern(size));
    return message;
}

run_response response_with_body(std::size_t size) {
    run_response message;
    message.response = http_response{200, {{"a", "b"}}, make_body(pattern(size))};
    return message;
}

/// An entry with an open link to an owner, at 10 Mbit/s.
class slow_link {
  public:
    link_peer entry;
    link_peer owner;
    test::slow_relay relay{owner.address, slow_rate};
    link_id accepted;

    slow_link() {
        entry.links.open(link_id{1}, relay.address());
        REQUIRE(entry.opened.wait(1).size() == 1);
        entry.links.send(link_id{1}, ping{});
        REQUIRE(owner.received.wait(1).size() == 1);
        accepted = owner.received.wait(1).at(0).first;
    }

    ~slow_link() {
        entry.links.stop();
        owner.links.stop();
    }

    slow_link(const slow_link&) = delete;
    slow_link& operator=(const slow_link&) = delete;
    slow_link(slow_link&&) = delete;
    slow_link& operator=(slow_link&&) = delete;
};

/// Opens a link to a peer by hand, so that malformed frames can be sent.
class raw_link {
  public:
    explicit raw_link(const std::string& address) : m_connection(address) {
        m_connection.send("GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                          "Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n");
        m_connection.read_until("\r\n\r\n");
    }

    void send(const std::string& payload) {
        constexpr std::size_t shortest_long_frame = 126; // Shorter ones have their length in one byte.
        std::string frame{"\x82"};
        if (payload.size() < shortest_long_frame) {
            frame += static_cast<char>(0x80U | payload.size());
        } else {
            frame += static_cast<char>(0x80U | shortest_long_frame);
            frame += static_cast<char>(payload.size() >> 8U);
            frame += static_cast<char>(payload.size() & 0xffU);
        }
        m_connection.send(frame + std::string(4, '\0') + payload);
    }

    void send_fragment(const fragment_header& header, const std::string& data) {
        std::string frame;
        append_header(frame, header);
        send(frame + data);
    }

    std::string read_all() { return m_connection.read_all(); }

  private:
    test::raw_connection m_connection;
};

std::vector<event_number> numbers(link_peer& peer, std::size_t count) {
    std::vector<event_number> result;
    for (const auto& it : peer.records.wait(count)) {
        result.push_back(it.number);
    }
    return result;
}

} // namespace

TEST_CASE("large requests and responses arrive complete in both directions", "[large-messages][link]") {
    link_peer entry;
    link_peer owner;
    for (auto* it : {&entry, &owner}) {
        it->links.set_body_limit(64 * kib * kib);
    }
    entry.links.open(link_id{1}, owner.address);
    REQUIRE(entry.opened.wait(1).size() == 1);
    const auto request = request_with_body(20 * kib * kib);
    entry.links.send(link_id{1}, request);
    const auto received = owner.received.wait(1, 10s);
    REQUIRE(received.size() == 1);
    const auto& run = std::get<run_request>(received[0].second);
    CHECK(*run.request.body == *request.request.body);
    CHECK(run.attempt == request.attempt);
    // The time of the transfer is no longer left.
    CHECK(run.remaining < 60s);
    CHECK(run.remaining > 30s);

    const auto response = response_with_body(540 * kib);
    owner.links.send(received[0].first, response);
    const auto answered = entry.received.wait(1);
    REQUIRE(answered.size() == 1);
    CHECK(*std::get<run_response>(answered[0].second).response->body == *response.response->body);
    CHECK(entry.links.bytes_in_assembly() == 0);
    CHECK(owner.links.bytes_in_assembly() == 0);
}

// One frame of 540 KB delays everything behind it by 430 ms at 10 Mbit/s, two of them by more than the 500 ms
// after which a link counts as silent.
TEST_CASE("large responses do not delay a pong", "[large-messages][link]") {
    slow_link it;
    for (int n = 0; n < 3; ++n) {
        it.owner.links.send(it.accepted, response_with_body(540 * kib));
    }
    it.owner.links.send(it.accepted, pong{});
    const auto first = it.entry.received.wait(1);
    REQUIRE(!first.empty());
    CHECK(std::holds_alternative<pong>(first[0].second));
    const auto all = it.entry.received.wait(4, 10s);
    REQUIRE(all.size() == 4);
    CHECK(std::get<run_response>(all[3].second).response->body->size() == 540 * kib);
}

// The entry pings a link on which it awaits an answer; the pong was delayed behind the request's own body.
TEST_CASE("a large request does not delay a ping", "[large-messages][link]") {
    slow_link it;
    it.entry.links.send(link_id{1}, request_with_body(1024 * kib));
    it.entry.links.send(link_id{1}, ping{});
    const auto first = it.owner.received.wait(2);
    REQUIRE(first.size() >= 2);
    CHECK(std::holds_alternative<ping>(first[1].second));
    CHECK(it.owner.received.wait(3, 10s).size() == 3);
}

// A response that takes longer than the silence timeout of 500 ms must not look like a dead link.
TEST_CASE("progress is reported while the fragments of a message arrive", "[large-messages][link]") {
    slow_link it;
    it.owner.links.send(it.accepted, response_with_body(1024 * kib));
    const auto before_end = it.entry.progress.wait(5, 10s);
    CHECK(before_end.size() >= 5);
    CHECK(before_end[0] == link_id{1});
    REQUIRE(it.entry.received.wait(1, 10s).size() == 1);
    // At most one report per 50 ms of the transfer, so that many fragments do not load the core.
    CHECK(it.entry.progress.wait(0).size() <= 60);

    it.entry.links.send(link_id{1}, request_with_body(256 * kib));
    REQUIRE(it.owner.received.wait(2, 10s).size() == 2);
    CHECK_FALSE(it.owner.progress.wait(1).empty());
}

// A message that was cut off must not be taken for a complete one.
TEST_CASE("a link that is lost in the middle of a message gives no message", "[large-messages][link]") {
    slow_link it;
    it.owner.links.send(it.accepted, response_with_body(1024 * kib));
    REQUIRE(it.entry.progress.wait(2).size() >= 2);
    CHECK(it.entry.links.bytes_in_assembly() > 0);
    it.relay.cut();
    REQUIRE(it.entry.closed.wait(1).size() == 1);
    CHECK(it.entry.received.wait(1, 100ms).empty());
    REQUIRE(numbers(it.entry, 1) == std::vector{event_number::link_message_incomplete});
    CHECK(it.entry.links.bytes_in_assembly() == 0);
}

// The request of a caller that has gone would occupy the link for its whole transfer, and then run.
TEST_CASE("a cancelled request is not sent to its end", "[large-messages][link]") {
    slow_link it;
    const auto request = request_with_body(1536 * kib);
    it.entry.links.send(link_id{1}, request);
    REQUIRE(it.owner.progress.wait(1).size() == 1);
    it.entry.links.send(link_id{1}, cancel_attempt{request.attempt});
    const auto messages = it.owner.received.wait(2);
    REQUIRE(messages.size() == 2);
    CHECK(std::holds_alternative<cancel_attempt>(messages[1].second));
    CHECK(it.owner.links.bytes_in_assembly() == 0);
    CHECK(it.owner.received.wait(3, 300ms).size() == 2);
    CHECK(it.owner.closed.wait(1, 0ms).empty());
}

// A node that stops would close its links in the middle of large responses if it did not know of them.
TEST_CASE("bytes that wait to be sent are counted until they are sent or dropped", "[large-messages][link]") {
    slow_link it;
    it.owner.links.send(it.accepted, response_with_body(540 * kib));
    REQUIRE(it.entry.progress.wait(1).size() == 1);
    CHECK(it.owner.links.bytes_unsent() > 0);
    REQUIRE(it.entry.received.wait(1, 10s).size() == 1);
    CHECK(it.owner.links.bytes_unsent() == 0);

    it.owner.links.send(it.accepted, response_with_body(540 * kib));
    REQUIRE(test::becomes_true(3s, [&] { return it.owner.links.bytes_unsent() > 0; }));
    it.relay.cut();
    CHECK(test::becomes_true(3s, [&] { return it.owner.links.bytes_unsent() == 0; }));
}

// Bodies that wait for a peer that does not read must not fill the memory.
TEST_CASE("a link is closed when the bodies queued for a peer exceed the bound", "[large-messages][link]") {
    link_peer owner;
    owner.links.set_body_limit(16 * kib * kib);
    raw_link peer(owner.address);
    peer.send(encode(traffic_message{ping{}}));
    REQUIRE(owner.received.wait(1).size() == 1);
    const link_id link = owner.received.wait(1).at(0).first;
    owner.links.send(link, response_with_body(16 * kib * kib));
    CHECK(owner.closed.wait(1, 200ms).empty());
    owner.links.send(link, response_with_body(16 * kib * kib));
    REQUIRE(owner.closed.wait(1).size() == 1);
    CHECK(numbers(owner, 1) == std::vector{event_number::link_queue_full});
}

TEST_CASE("a malformed fragment closes its link with an event", "[large-messages][link]") {
    link_peer owner;
    raw_link peer(owner.address);
    SECTION("unknown message") {
        peer.send_fragment({fragment_kind::data, 1, 10, 100'000, 50}, "data");
    }
    SECTION("above the limit") {
        peer.send_fragment({fragment_kind::data, 1, 10, 0x7fffffff, 0}, "data");
    }
    SECTION("body of a message that has none") {
        const std::string head = encode(traffic_message{ping{}});
        peer.send_fragment({fragment_kind::data, 1, static_cast<std::uint32_t>(head.size()), 4, 0},
                           head + "data");
    }
    SECTION("head that cannot be decoded") {
        peer.send_fragment({fragment_kind::data, 1, 4, 0, 0}, "data");
    }
    CHECK(peer.read_all().empty());
    CHECK(numbers(owner, 1) == std::vector{event_number::link_message_malformed});
    CHECK(owner.links.link_count() == 0);
    CHECK(owner.links.bytes_in_assembly() == 0);
}

// Many peers that leave their messages incomplete must not fill the memory of the process.
TEST_CASE("incomplete messages of all links share one bound", "[large-messages][link]") {
    link_peer owner;
    std::vector<std::unique_ptr<raw_link>> peers;
    constexpr std::uint32_t body = 1024 * kib;
    constexpr std::uint32_t sent = body - max_fragment_bytes;
    for (std::size_t n = 1; n <= 3; ++n) {
        peers.push_back(std::make_unique<raw_link>(owner.address));
        for (std::uint32_t offset = 0; offset < sent; offset += max_fragment_bytes) {
            peers.back()->send_fragment({fragment_kind::data, 1, 10, body, offset},
                                        std::string(max_fragment_bytes, 'x'));
        }
        // The third peer alone exceeds the bound.
        const bool fits = n < 3;
        CHECK(test::becomes_true(3s, [&] {
            return fits ? owner.links.bytes_in_assembly() == n * sent : owner.links.link_count() == 2;
        }));
    }
    CHECK(numbers(owner, 1) == std::vector{event_number::link_assembly_full});
    CHECK(test::becomes_true(3s, [&] { return owner.links.bytes_in_assembly() == 2 * sent; }));
}

} // namespace cornelpier
