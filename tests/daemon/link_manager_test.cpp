#include "cornelpier/message/codec.hpp"

#include "daemon/link/link_manager.hpp"
#include "tests/daemon/support/raw_connection.hpp"
#include "tests/daemon/support/running_context.hpp"

#include <catch2/catch.hpp>

namespace cornelpier {

namespace {

using namespace std::chrono_literals;

/// A link manager that records its callbacks.
class link_peer {
  public:
    link_peer()
        : address(test::free_address()),
          links(threads.context,
                {[this](link_id it) { opened.push(it); }, [this](link_id it) { closed.push(it); },
                 [this](link_id link, traffic_message it) {
                     received.push({link, std::move(it)});
                 },
                 [this](control_message it) { control.push(std::move(it)); },
                 [this](const event_record& it) { records.push(it); }}) {
        REQUIRE(links.bind(address).reason.empty());
        links.start();
    }

    ~link_peer() { threads.stop(); }

    std::string address;
    test::value_recorder<link_id> opened;
    test::value_recorder<link_id> closed;
    test::value_recorder<std::pair<link_id, traffic_message>> received;
    test::value_recorder<control_message> control;
    test::value_recorder<event_record> records;
    test::running_context threads;
    link_manager links;
};

run_request run_with_body(std::size_t size) {
    run_request message;
    message.request.body = make_body(std::string(size, 'a'));
    return message;
}

void handshake(test::raw_connection& peer) {
    peer.send("GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
              "Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n");
    peer.read_until("\r\n\r\n");
}

} // namespace

TEST_CASE("messages are delivered in both directions on one link, in order", "[link]") {
    link_peer entry;
    link_peer owner;
    entry.links.open(link_id{1}, owner.address);
    REQUIRE(entry.opened.wait(1).size() == 1);

    for (std::uint64_t n = 0; n < 100; ++n) {
        entry.links.send(link_id{1}, cancel_attempt{{{incarnation{1}, n}, 1}});
    }
    const auto messages = owner.received.wait(100);
    REQUIRE(messages.size() == 100);
    for (std::uint64_t n = 0; n < 100; ++n) {
        CHECK(std::get<cancel_attempt>(messages[n].second).attempt.request.sequence == n);
    }

    const link_id accepted = messages[0].first;
    CHECK((accepted.value() & accepted_link_bit) != 0);
    CHECK((accepted.value() & ~accepted_link_bit) > (std::uint64_t{1} << 62U));
    owner.links.send(accepted, pong{});
    REQUIRE(entry.received.wait(1).size() == 1);
    CHECK(std::holds_alternative<pong>(entry.received.wait(1).at(0).second));
}

TEST_CASE("closing a link is immediate and reported only to the peer", "[link]") {
    link_peer entry;
    link_peer owner;
    entry.links.open(link_id{1}, owner.address);
    REQUIRE(entry.opened.wait(1).size() == 1);
    entry.links.send(link_id{1}, ping{});
    REQUIRE(owner.received.wait(1).size() == 1);

    entry.links.close(link_id{1});
    REQUIRE(owner.closed.wait(1).size() == 1);
    CHECK(owner.closed.wait(1).at(0) == owner.received.wait(1).at(0).first);
    CHECK(entry.closed.wait(1, 100ms).empty());
    CHECK(entry.links.link_count() == 0);
    CHECK(owner.links.link_count() == 0);
}

TEST_CASE("a link to an unresponsive or stopped node is closed within its timeout", "[link]") {
    link_peer entry;
    entry.links.open(link_id{1}, test::free_address());
    REQUIRE(entry.closed.wait(1).size() == 1);

    // The kernel accepts the connection, but nothing answers the WebSocket handshake.
    boost::asio::io_context context;
    const boost::asio::ip::tcp::acceptor silent(context, {boost::asio::ip::address_v4::loopback(), 0});
    const auto begin = std::chrono::steady_clock::now();
    entry.links.open(link_id{2}, "127.0.0.1:" + std::to_string(silent.local_endpoint().port()));
    REQUIRE(entry.closed.wait(2).size() == 2);
    CHECK(std::chrono::steady_clock::now() - begin < 1200ms);
}

TEST_CASE("a message above 2 MiB closes the link", "[link]") {
    link_peer entry;
    link_peer owner;
    entry.links.open(link_id{1}, owner.address);
    REQUIRE(entry.opened.wait(1).size() == 1);
    entry.links.send(link_id{1}, run_with_body(1024 * 1024));
    REQUIRE(owner.received.wait(1).size() == 1);

    entry.links.send(link_id{1}, run_with_body(max_link_message_bytes));
    CHECK(entry.closed.wait(1).size() == 1);
    CHECK(owner.received.wait(2, 100ms).size() == 1);
}

TEST_CASE("a frame that cannot be decoded closes the link and logs an event", "[link]") {
    link_peer owner;
    test::raw_connection peer(owner.address);
    handshake(peer);
    peer.send(std::string("\x82\x81\x00\x00\x00\x00\x01", 7));

    CHECK(peer.read_all().empty());
    REQUIRE(owner.records.wait(1).size() == 1);
    CHECK(owner.records.wait(1).at(0).number == event_number::link_message_malformed);
    CHECK(owner.links.link_count() == 0);
}

TEST_CASE("a link whose peer does not read is closed when its send queue is full", "[link]") {
    link_peer owner;
    test::raw_connection peer(owner.address);
    handshake(peer);
    const std::string ping_bytes = encode(traffic_message{ping{}});
    peer.send(std::string("\x82", 1) + static_cast<char>(0x80 + ping_bytes.size()) + std::string(4, '\0') +
              ping_bytes);
    REQUIRE(owner.received.wait(1).size() == 1);

    for (int n = 0; n < 40; ++n) {
        owner.links.send(owner.received.wait(1).at(0).first, run_with_body(1024 * 1024));
    }
    REQUIRE(owner.closed.wait(1).size() == 1);
    CHECK(owner.records.wait(1).at(0).number == event_number::link_queue_full);
}

TEST_CASE("control messages use separate links", "[link]") {
    link_peer asking;
    link_peer asked;
    asking.links.send_control(asked.address, plan_pull{target_id{"comenzi-1"}});
    asking.links.send_control(asked.address, plan_push{target_id{"comenzi-1"}, std::string(1'000'000, 'x')});

    const auto messages = asked.control.wait(2);
    REQUIRE(messages.size() == 2);
    CHECK(std::get<plan_pull>(messages[0]).from == target_id{"comenzi-1"});
    CHECK(std::get<plan_push>(messages[1]).sheet.size() == 1'000'000);
    CHECK(asking.opened.wait(1, 0ms).empty());
    CHECK(asked.received.wait(1, 0ms).empty());
}

TEST_CASE("binding an address in use is an error", "[link]") {
    link_peer first;
    test::running_context threads;
    link_manager second(threads.context, {});
    CHECK_FALSE(second.bind(first.address).reason.empty());
    threads.stop();
}

} // namespace cornelpier
