#include "tests/process/support/child_process.hpp"
#include "tests/process/support/http_call.hpp"
#include "tests/process/support/small_fleet.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <thread>
#include <vector>

namespace cornelpier {

namespace {

using namespace std::chrono_literals;
using test::call;
using test::get_request;
using test::post_request;
using test::small_fleet;

std::string identity_field(const std::string& identity) {
    return "X-Identity: " + identity + "\r\n";
}

/// Results of the calls during the shutdown of a node.
struct shutdown_results {
    std::atomic<int> answered = 0;
    std::atomic<int> incomplete = 0; ///< Connected, but received no complete response.
    std::atomic<int> without_verdict = 0;
};

/// Sends each call on a new connection until the node refuses connections, at most 1000 calls.
void call_until_refused(const std::string& address, shutdown_results& results, bool orders) {
    try {
        for (int n = 0; n < 1000; ++n) {
            const auto answer =
                call(address, orders ? post_request("/orders", "comenzi", "x", "Connection: close\r\n")
                                     : get_request("/a", "comenzi", "Connection: close\r\n"));
            results.answered += answer.status != 0 ? 1 : 0;
            results.incomplete += answer.status == 0 ? 1 : 0;
            results.without_verdict += answer.status != 0 && answer.verdict().empty() ? 1 : 0;
        }
    } catch (const std::runtime_error&) {
        // The node no longer listens.
    }
}

/// Opens connections and resets them, so that they occupy no ports, until they are refused.
void connect_until_refused(std::uint16_t port) {
    using boost::asio::ip::tcp;
    boost::asio::io_context context;
    boost::system::error_code ec;
    while (!ec) {
        tcp::socket socket(context);
        socket.connect({boost::asio::ip::address_v4::loopback(), port}, ec);
        if (!ec) {
            socket.set_option(tcp::socket::linger(true, 0), ec);
        }
    }
}

} // namespace

TEST_CASE("lookups and orders run once and carry verdicts through any node", "[process]") {
    const small_fleet fleet;
    const auto lookup = call(fleet.caller_address("atelier-1"), get_request("/orders/17", "comenzi.example"));
    CHECK(lookup.status == 200);
    CHECK(lookup.verdict() == "ran");
    CHECK(lookup.body.find("/orders/17") != std::string::npos);

    // The owner cannot prove that a key is new until it has been up for the key memory (1 s).
    std::this_thread::sleep_for(1200ms);
    const auto order =
        post_request("/orders", "comenzi", "12 mallets", "Idempotency-Key: k1\r\n" + identity_field("o1"));
    const auto first = call(fleet.caller_address("comenzi-1"), order);
    const auto repeat = call(fleet.caller_address("atelier-1"), order);
    CHECK(first.status == 200);
    CHECK(first.verdict() == "ran");
    CHECK(repeat.verdict() == "ran");
    CHECK(repeat.body == first.body);
    CHECK(fleet.executions("o1") == 1);

    const auto fate =
        call(fleet.caller_address("comenzi-2"),
             get_request("/cornelpier/requests/" + first.fields.at("cornelpier-request"), "any"));
    CHECK(fate.body.find("ran") != std::string::npos);
}

TEST_CASE("bad input is refused with not-run and reaches no server", "[process]") {
    const small_fleet fleet;
    const auto node = fleet.caller_address("comenzi-1");
    const std::string head = "POST /bad HTTP/1.1\r\nHost: comenzi\r\n" + identity_field("bad");
    const std::vector<std::pair<std::string, int>> cases{
        {head + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
        {head + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na", 400},
        {head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
        {"POST /bad HTTP/1.1\r\nX-Identity: bad\r\nContent-Length: 0\r\n\r\n", 400},
        {head + "Host: atelier\r\nContent-Length: 0\r\n\r\n", 400},
        {"POST bad HTTP/1.1\r\nHost: comenzi\r\nX-Identity: bad\r\nContent-Length: 0\r\n\r\n", 400},
        {head + "Cornelpier-Deadline-Ms: soon\r\nContent-Length: 0\r\n\r\n", 400},
        {post_request("/bad", "nowhere", "", identity_field("bad")), 404},
        {head + "Content-Length: 1", 408},
        {head + "Content-Length: 1048577\r\n\r\n", 413},
        {head + "X-Long: " + std::string(17'000, 'a') + "\r\n\r\n", 431},
        {"POST /bad HTTP/1.0\r\nHost: comenzi\r\nX-Identity: bad\r\nContent-Length: 0\r\n\r\n", 505},
    };
    for (const auto& [request, status] : cases) {
        INFO(request.substr(0, 100));
        const auto answer = call(node, request);
        CHECK(answer.status == status);
        CHECK(answer.verdict() == "not-run");
    }
    CHECK(fleet.executions("bad") == 0);
}

TEST_CASE("lookups go on when a node is killed", "[process]") {
    small_fleet fleet;
    fleet.node("comenzi-2").send_signal(SIGKILL);
    for (int n = 0; n < 100; ++n) {
        for (const std::string entry : {"comenzi-1", "atelier-1"}) {
            const auto answer = call(fleet.caller_address(entry), get_request("/a", "comenzi"));
            CHECK(answer.status == 200);
            CHECK(answer.verdict() == "ran");
        }
    }
}

TEST_CASE("a node completes all requests in progress on SIGTERM", "[process]") {
    small_fleet fleet("30");
    shutdown_results results;
    std::vector<std::thread> callers;
    for (int n = 0; n < 16; ++n) {
        callers.emplace_back(
            [&, n] { call_until_refused(fleet.caller_address("comenzi-1"), results, n % 2 == 0); });
    }
    std::this_thread::sleep_for(500ms);
    fleet.node("comenzi-1").send_signal(SIGTERM);
    const auto status = fleet.node("comenzi-1").wait(10s);
    for (auto& it : callers) {
        it.join();
    }

    CHECK(status == 0);
    CHECK(results.answered > 16);
    CHECK(results.incomplete == 0);
    CHECK(results.without_verdict == 0);
    CHECK(call(fleet.caller_address("atelier-1"), get_request("/a", "comenzi")).verdict() == "ran");
}

TEST_CASE("a node ends cleanly while connections to its links are opened", "[process]") {
    small_fleet fleet;
    const std::uint16_t port = fleet.link_port("comenzi-1");
    for (int n = 0; n < 3; ++n) {
        auto& node = fleet.node("comenzi-1");
        std::vector<std::thread> peers;
        for (int peer = 0; peer < 4; ++peer) {
            peers.emplace_back([&] { connect_until_refused(port); });
        }
        node.send_signal(SIGTERM);
        CHECK(node.wait(10s) == 0);
        for (auto& it : peers) {
            it.join();
        }
        fleet.start_node("comenzi-1");
        REQUIRE(fleet.wait_until_serving("comenzi-1"));
    }
}

TEST_CASE("a node exits instead of starting partially on bad arguments, bad settings or an occupied port",
          "[process]") {
    small_fleet fleet;
    const auto run = [&](std::vector<std::string> arguments) {
        arguments.insert(arguments.begin(), CORNELPIER_NODE);
        test::child_process it(arguments, fleet.file_path("output"));
        return it.wait(5s);
    };
    std::ofstream(fleet.file_path("bad.json")) << R"({"target": 1})";

    CHECK(run({"--version"}) == 0);
    CHECK(run({"--help"}) == 0);
    CHECK(run({}) == 2);
    CHECK(run({"--nonsense"}) == 2);
    CHECK(run({"--settings", fleet.file_path("missing.json")}) == 2);
    CHECK(run({"--settings", fleet.file_path("bad.json")}) == 2);
    CHECK(run({"--settings", fleet.file_path("bad.json"), "--check"}) == 2);
    CHECK(run({"--settings", fleet.settings_path("comenzi-1"), "--check"}) == 0);
    CHECK(run({"--settings", fleet.settings_path("comenzi-1")}) == 1);
}

TEST_CASE("a node starts within a second", "[process]") {
    small_fleet fleet;
    fleet.node("comenzi-2").send_signal(SIGTERM);
    REQUIRE(fleet.node("comenzi-2").wait(10s) == 0);
    const auto begin = std::chrono::steady_clock::now();
    fleet.start_node("comenzi-2");
    REQUIRE(fleet.wait_until_serving("comenzi-2"));
    const auto time =
        std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begin);
    std::cout << "start-up until the first answer: " << time.count() << " ms\n";
    CHECK(time < 1500ms);
}

} // namespace cornelpier
