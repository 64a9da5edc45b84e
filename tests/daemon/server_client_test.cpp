#include "daemon/server/server_client.hpp"
#include "tests/daemon/support/endless_fields.hpp"
#include "tests/daemon/support/resident_bytes.hpp"
#include "tests/daemon/support/running_context.hpp"
#include "tests/daemon/support/stub_http_server.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

namespace cornelpier {

namespace {

using boost::asio::ip::tcp;
using namespace std::chrono_literals;

/// Server that responds to every request with the same bytes, using one thread per connection.
class scripted_server {
  public:
    explicit scripted_server(std::string answer, bool close = false)
        : m_answer(std::move(answer)), m_close(close),
          m_acceptor(m_context, {boost::asio::ip::address_v4::loopback(), 0}) {
        address = "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
        m_accepting = std::thread([this] { accept(); });
    }

    ~scripted_server() {
        stopping = true;
        {
            tcp::socket wake(m_context);
            boost::system::error_code ec;
            wake.connect(m_acceptor.local_endpoint(), ec);
        }
        m_accepting.join();
        for (auto& it : m_serving) {
            it.join();
        }
    }

    std::string address;
    test::value_recorder<std::string> requests;
    test::value_recorder<int> connections;
    test::value_recorder<int> closed_connections;
    std::atomic<bool> stopping = false;

  private:
    void accept() {
        while (true) {
            tcp::socket socket = m_acceptor.accept();
            if (stopping) {
                return;
            }
            connections.push(1);
            m_serving.emplace_back([this, it = std::move(socket)]() mutable { serve(it); });
        }
    }

    void serve(tcp::socket& socket) {
        std::string buf;
        boost::system::error_code ec;
        while (!m_close || requests.wait(0).empty()) {
            const auto n = boost::asio::read_until(socket, boost::asio::dynamic_buffer(buf), "\r\n\r\n", ec);
            if (ec) {
                break;
            }
            requests.push(buf.substr(0, n));
            buf.erase(0, n);
            boost::asio::write(socket, boost::asio::buffer(m_answer), ec);
        }
        closed_connections.push(1);
    }

    std::string m_answer;
    bool m_close;
    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::vector<std::thread> m_serving; ///< Grown by m_accepting until that has ended.
    std::thread m_accepting;
};

/// Client that records its events.
class client_fixture {
  public:
    explicit client_fixture(const std::string& address, wire_names names = {})
        : client(threads.context, {address, "/load", service_id{"comenzi"}, std::move(names)},
                 [this](traffic_event it) { events.push(std::move(it)); }) {}

    ~client_fixture() { threads.stop(); }

    void start(std::uint64_t n, bool fresh = false, const std::string& method = "GET",
               duration timeout = std::chrono::seconds{2}) {
        start_run action;
        action.run = run_id{n};
        action.request = {
            method, "/orders/1", {{"host", "other"}, {"x-a", "1"}, {"upgrade", "x"}}, make_body()};
        action.fresh_connection = fresh;
        action.timeout = timeout;
        action.deadline = std::chrono::seconds{2};
        action.depth = 2;
        action.outer_retry = true;
        client.start(std::move(action));
    }

    /// @return the failure of the n-th run, or nothing if it did not fail.
    std::optional<server_failure> failure(std::size_t n) {
        const auto all = events.wait(n);
        const auto* it = all.size() < n ? nullptr : std::get_if<server_failed>(&all[n - 1]);
        return it == nullptr ? std::nullopt : std::optional{it->kind};
    }

    test::value_recorder<traffic_event> events;
    test::running_context threads;
    server_client client;
};

const std::string short_answer =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Hop: 1\r\nConnection: x-hop\r\n\r\nok";

} // namespace

TEST_CASE("a request carries deadline, depth, retry and the service as Host", "[server]") {
    scripted_server server(short_answer);
    client_fixture it(server.address);
    it.start(1);
    const auto events = it.events.wait(1);
    REQUIRE(events.size() == 1);
    const auto answered = std::get<server_answered>(events[0]);
    CHECK(answered.response.status == 200);
    CHECK(*answered.response.body == "ok");
    CHECK(answered.response.fields.empty());

    const auto request = server.requests.wait(1).at(0);
    for (const auto* part :
         {"GET /orders/1 HTTP/1.1\r\n", "host: comenzi\r\n", "cornelpier-deadline-ms: 2000\r\n",
          "cornelpier-depth: 2\r\n", "cornelpier-retry: 1\r\n", "x-a: 1\r\n"}) {
        CHECK(request.find(part) != std::string::npos);
    }
    CHECK(request.find("other") == std::string::npos);
    CHECK(request.find("upgrade") == std::string::npos);
}

TEST_CASE("a fresh connection is new or completed a response within 100 ms", "[server]") {
    scripted_server server(short_answer);
    client_fixture it(server.address);
    it.start(1);
    REQUIRE(it.events.wait(1).size() == 1);
    it.start(2, true);
    REQUIRE(it.events.wait(2).size() == 2);
    CHECK(server.connections.wait(1, 0ms).size() == 1);

    std::this_thread::sleep_for(150ms);
    it.start(3, false);
    REQUIRE(it.events.wait(3).size() == 3);
    CHECK(server.connections.wait(1, 0ms).size() == 1);
    std::this_thread::sleep_for(150ms);
    it.start(4, true);
    REQUIRE(it.events.wait(4).size() == 4);
    CHECK(server.connections.wait(2, 0ms).size() == 2);
}

TEST_CASE("a failed connect is distinguished from an incomplete response", "[server]") {
    client_fixture refused(test::free_address());
    refused.start(1);
    CHECK(refused.failure(1) == server_failure::connect_failed);

    scripted_server closing("", true);
    client_fixture lost(closing.address);
    lost.start(1);
    CHECK(lost.failure(1) == server_failure::connection_lost);
}

TEST_CASE("a check tells a server that listens from one that has ended", "[server]") {
    const auto check = [](const std::string& address) {
        client_fixture it(address);
        it.client.check();
        const auto events = it.events.wait(1);
        return events.empty() ? server_presence::unknown : std::get<server_checked>(events.at(0)).presence;
    };
    scripted_server listening("");
    CHECK(check(listening.address) == server_presence::listening);
    CHECK(check(test::free_address()) == server_presence::absent);

    // A process that ends closes its connections before its listening socket.
    boost::asio::io_context context;
    tcp::acceptor ending(context, {boost::asio::ip::address_v4::loopback(), 0});
    std::thread end([&] {
        ending.accept().close();
        ending.close();
    });
    CHECK(check("127.0.0.1:" + std::to_string(ending.local_endpoint().port())) == server_presence::absent);
    end.join();
}

TEST_CASE("incomplete responses are failures", "[server]") {
    using enum server_failure;
    const std::vector<std::pair<std::string, server_failure>> answers{
        {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", connection_lost},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", connection_lost},
        {"HTTP/1.1 200 OK\r\n\r\nok", response_incomplete},
        {"HTTP/1.1 200 OK\r\nContent-Length: 1048577\r\n\r\n" + std::string(1048577, 'a'),
         response_incomplete},
        {"HTTP/1.1 200", connection_lost},
        {"nonsense\r\n\r\n", response_incomplete},
    };
    for (const auto& [answer, expected] : answers) {
        INFO(answer.substr(0, 80));
        scripted_server server(answer, true);
        client_fixture it(server.address);
        it.start(1);
        CHECK(it.failure(1) == expected);
    }
}

TEST_CASE("a response timeout counts as an incomplete response", "[server]") {
    scripted_server server("");
    client_fixture it(server.address);
    it.start(1, false, "POST", 100ms);
    CHECK(it.failure(1) == server_failure::response_incomplete);
    CHECK(server.closed_connections.wait(1).size() == 1);
}

TEST_CASE("cancelling a run closes the connection and reports no event", "[server]") {
    scripted_server server("");
    client_fixture it(server.address);
    it.start(1);
    REQUIRE(server.requests.wait(1).size() == 1);
    it.client.cancel(run_id{1});
    CHECK(server.closed_connections.wait(1).size() == 1);
    CHECK(it.events.wait(1, 50ms).empty());
}

TEST_CASE("interim responses are skipped and responses to HEAD have no body", "[server]") {
    scripted_server interim("HTTP/1.1 100 Continue\r\n\r\n" + short_answer);
    client_fixture first(interim.address);
    first.start(1);
    REQUIRE(first.events.wait(1).size() == 1);
    CHECK(std::get<server_answered>(first.events.wait(1)[0]).response.status == 200);

    scripted_server head("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n");
    client_fixture second(head.address);
    second.start(1, false, "HEAD");
    REQUIRE(second.events.wait(1).size() == 1);
    const http_fields expected{{"content-length", "99"}};
    CHECK(std::get<server_answered>(second.events.wait(1)[0]).response.fields == expected);
}

namespace {

wire_names adapter_names() {
    wire_names names;
    names.request_id = "x-id";
    names.response_seal = "x-seal";
    names.not_run = "x-not-run";
    names.expected_instance = "x-instance";
    names.close_delimited_responses = true;
    return names;
}

/// @return the event after a server has responded with the given bytes to a request with id 7.
traffic_event outcome_of(const std::string& bytes, bool close = false) {
    scripted_server server(bytes, close);
    client_fixture it(server.address, adapter_names());
    start_run action;
    action.run = run_id{1};
    action.request = {"GET", "/x", {{"x-id", "7"}}, make_body()};
    action.timeout = 300ms;
    action.deadline = std::chrono::seconds{2};
    action.instance = "i-1";
    it.client.start(std::move(action));
    const auto events = it.events.wait(1);
    CHECK(server.requests.wait(1).at(0).find("x-instance: i-1\r\n") != std::string::npos);
    return events.empty() ? traffic_event{server_report_failed{}} : events.at(0);
}

std::string sealed_response(const std::string& id, const std::string& body) {
    return "HTTP/1.1 200 OK\r\nX-Id: " + id +
           "\r\nX-Seal: s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool is_response_incomplete(const traffic_event& event) {
    const auto* it = std::get_if<server_failed>(&event);
    return it != nullptr && it->kind == server_failure::response_incomplete;
}

} // namespace

TEST_CASE("a response to an earlier request is skipped", "[server]") {
    const auto event = outcome_of(sealed_response("6", "stray") + sealed_response("7", "own"));
    REQUIRE(std::holds_alternative<server_answered>(event));
    CHECK(*std::get<server_answered>(event).response.body == "own");
    CHECK(is_response_incomplete(outcome_of(sealed_response("6", "stray"))));
}

TEST_CASE("a successful response needs the server's seal and no content encoding", "[server]") {
    CHECK(is_response_incomplete(outcome_of("HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 0\r\n\r\n")));
    CHECK(is_response_incomplete(
        outcome_of("HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Seal: s\r\nContent-Encoding: gzip\r\n"
                   "Content-Length: 1\r\n\r\na")));
}

TEST_CASE("a response without a length is complete only when the connection is closed", "[server]") {
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Seal: s\r\n\r\n";
    const auto event = outcome_of(head + "all", true);
    REQUIRE(std::holds_alternative<server_answered>(event));
    CHECK(*std::get<server_answered>(event).response.body == "all");
    CHECK(is_response_incomplete(outcome_of(head + "part")));
}

TEST_CASE("a server can state that it did not run a request", "[server]") {
    const auto shed = outcome_of("HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
    CHECK(std::get<server_answered>(shed).refused);
    const auto other = outcome_of("HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n");
    CHECK(std::get<server_answered>(other).refused);
    const auto failed = outcome_of("HTTP/1.1 503 Busy\r\nX-Id: 7\r\nContent-Length: 0\r\n\r\n");
    CHECK_FALSE(std::get<server_answered>(failed).refused);
}

namespace {

void start_with_id(client_fixture& it, std::uint64_t n, const std::string& method = "GET",
                   duration timeout = 1s) {
    start_run action;
    action.run = run_id{n};
    action.request = {method, "/x", {{"x-id", std::to_string(n)}}, make_body()};
    action.timeout = timeout;
    action.deadline = std::chrono::seconds{2};
    it.client.start(std::move(action));
}

} // namespace

// A server may send a response twice, the second time while the connection carries the next request.
TEST_CASE("a duplicate response is never taken for the response to the next request",
          "[server][field-reports]") {
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\n";
    const std::vector<std::pair<std::string, std::string>> copies{
        {"identical", sealed_response("1", "one")},
        {"without an id", "HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 3\r\n\r\none"},
        {"in chunks", head + "Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n"},
        {"a refusal without an id", "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"},
        {"a failure without an id", "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"},
        {"a refusal with the old id",
         "HTTP/1.1 503 Busy\r\nX-Id: 1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"},
        {"without content", "HTTP/1.1 204 No Content\r\nX-Id: 1\r\nX-Seal: s\r\n\r\n"},
        {"not modified", "HTTP/1.1 304 Not Modified\r\nX-Id: 1\r\nX-Seal: s\r\n\r\n"},
        {"after an interim response", "HTTP/1.1 100 Continue\r\n\r\n" + sealed_response("1", "one")},
        {"truncated", head + "Content-Length: 99\r\n\r\npart"},
    };
    for (const auto& [name, copy] : copies) {
        INFO(name);
        test::stub_http_server server([copy = copy](std::size_t n, const std::string&) {
            return n == 0 ? sealed_response("1", "one") : copy + sealed_response("2", "two");
        });
        client_fixture it(server.address, adapter_names());
        start_with_id(it, 1);
        REQUIRE(it.events.wait(1).size() == 1);
        start_with_id(it, 2);
        const auto events = it.events.wait(2);
        REQUIRE(events.size() == 2);
        if (const auto* answered = std::get_if<server_answered>(&events[1])) {
            CHECK(*answered->response.body == "two");
            CHECK_FALSE(answered->refused);
        } else {
            CHECK(is_response_incomplete(events[1]));
        }

        // The connection is not reused.
        start_with_id(it, 3);
        REQUIRE(it.events.wait(3).size() == 3);
        CHECK(server.connections == 2);
    }
}

TEST_CASE(
    "a refusal that a server without request ids repeats is not taken for the response to the next request",
    "[server][field-reports]") {
    const std::string refusal = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    scripted_server server(refusal);
    client_fixture it(server.address);
    it.start(1);
    REQUIRE(it.events.wait(1).size() == 1);
    it.start(2);
    REQUIRE(it.events.wait(2).size() == 2);
    CHECK(server.connections.wait(2).size() == 2);

    // Other responses keep the connection.
    scripted_server sound(short_answer);
    client_fixture other(sound.address);
    other.start(1);
    REQUIRE(other.events.wait(1).size() == 1);
    other.start(2);
    REQUIRE(other.events.wait(2).size() == 2);
    CHECK(sound.connections.wait(2, 50ms).size() == 1);
}

TEST_CASE("a late response to a run is not taken for a health report", "[server][field-reports]") {
    auto names = adapter_names();
    names.load = "x-load";
    names.response_instance = "x-me";
    names.parse_load = [](std::string_view) { return std::optional{server_load_report{1, 2, 3, 4}}; };
    test::stub_http_server server([](std::size_t n, const std::string&) {
        return n == 0 ? sealed_response("1", "one")
                      : sealed_response("1", "one") + "HTTP/1.1 200 OK\r\nX-Me: i-1\r\nX-Load: 1\r\n"
                                                      "Content-Length: 0\r\n\r\n";
    });
    client_fixture it(server.address, names);
    start_with_id(it, 1);
    REQUIRE(it.events.wait(1).size() == 1);
    it.client.read_report("/health");
    const auto events = it.events.wait(2);
    REQUIRE(events.size() == 2);
    const auto* report = std::get_if<server_report>(&events[1]);
    REQUIRE(report != nullptr);
    CHECK(report->instance == "i-1");
    CHECK(report->load);
}

TEST_CASE("a response that breaks off anywhere before its end is never complete", "[server][field-reports]") {
    const std::string fields = "X-Id: 7\r\nX-Seal: s\r\n";
    const std::vector<std::string> responses{
        "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 12\r\n\r\nwhole answer",
        "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n" + fields + "Keep-Alive: timeout=5\r\n\r\nwhole answer",
        "HTTP/1.1 200 OK\r\n" + fields +
            "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n7\r\n answer\r\n0\r\n\r\n",
        "HTTP/1.1 204 No Content\r\n" + fields + "\r\n",
        "HTTP/1.1 503 Busy\r\nX-Id: 7\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
    };
    for (const auto& whole : responses) {
        REQUIRE(std::holds_alternative<server_answered>(outcome_of(whole, true)));
        for (std::size_t length = 0; length < whole.size(); ++length) {
            INFO(whole.substr(0, length));
            CHECK(std::holds_alternative<server_failed>(outcome_of(whole.substr(0, length), true)));
        }
    }
    // Without a length, the head at least has to be whole.
    const std::string head = "HTTP/1.1 200 OK\r\n" + fields + "\r\n";
    for (std::size_t length = 0; length < head.size(); ++length) {
        INFO(head.substr(0, length));
        CHECK(std::holds_alternative<server_failed>(outcome_of(head.substr(0, length), true)));
    }
}

// A faulty server may send invalid bytes until the client closes the connection.
TEST_CASE("unbounded input ends at a limit and counts as an incomplete response", "[server][field-reports]") {
    constexpr std::size_t bound = std::size_t{16} * 1024 * 1024;
    const std::string block(64 * 1024, 'a');
    const std::string ok = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\n";
    struct input_case {
        std::string name;
        std::string start;
        std::string repeated_bytes;
    };
    const std::vector<input_case> cases{
        {"status line", "HTTP/1.1 200 ", block},
        {"field", ok + "X-A: ", block},
        {"fields", ok, "X-A: b\r\n"},
        {"chunk size", ok + "Transfer-Encoding: chunked\r\n\r\n", std::string(64 * 1024, '0')},
        {"chunk extension", ok + "Transfer-Encoding: chunked\r\n\r\n1;a=", block},
        {"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + block + "\r\n"},
        {"trailer", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: " + block + "\r\n"},
        {"body without a length", ok + "\r\n", block},
        {"interim responses", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"unmatched responses", sealed_response("0", "stray"), sealed_response("0", "stray")},
        {"no response at all", "", block},
    };
    for (const auto& it : cases) {
        INFO(it.name);
        test::stub_http_server server([&](std::size_t, const std::string&) { return it.start; },
                                      it.repeated_bytes);
        client_fixture client(server.address, adapter_names());
        const auto begin = std::chrono::steady_clock::now();
        start_with_id(client, 1, "GET", 20s);
        const auto events = client.events.wait(1, 10s);
        REQUIRE(events.size() == 1);
        CHECK(is_response_incomplete(events[0]));
        CHECK(server.bytes < bound);
        CHECK(std::chrono::steady_clock::now() - begin < 10s);
    }
}

// Guards against a faulty server that fills the memory with short fields: the parser's limit starts anew
// after a read that ends behind one or two bytes of a field.
TEST_CASE("short fields without end do not fill the memory", "[server][field-reports]") {
    constexpr std::size_t concurrent = 8;
    constexpr std::size_t bound = std::size_t{64} * 1024 * 1024; // Memory that a node may use.
    const auto input = test::make_endless_fields("HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\n");
    std::vector<std::unique_ptr<test::stub_http_server>> servers;
    std::vector<std::unique_ptr<client_fixture>> clients;
    const std::size_t before = test::resident_bytes();
    for (std::size_t n = 0; n < concurrent; ++n) {
        servers.push_back(std::make_unique<test::stub_http_server>(
            [&](std::size_t, const std::string&) { return input.head; }, input.repeated_bytes));
        clients.push_back(std::make_unique<client_fixture>(servers.back()->address, adapter_names()));
        start_with_id(*clients.back(), 1, "GET", 20s);
    }
    std::size_t most = before;
    const auto end = std::chrono::steady_clock::now() + 2s;
    while (std::chrono::steady_clock::now() < end && most - before < bound) {
        most = std::max(most, test::resident_bytes());
        std::this_thread::sleep_for(5ms);
    }
    CHECK(most - before < bound);
    for (const auto& it : clients) {
        const auto events = it->events.wait(1, 1s);
        REQUIRE(events.size() == 1);
        CHECK(is_response_incomplete(events[0]));
    }
}

TEST_CASE("a connection is not reused after the server's announced idle timeout", "[server]") {
    scripted_server server("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n");
    client_fixture it(server.address);
    it.start(1);
    REQUIRE(it.events.wait(1).size() == 1);
    std::this_thread::sleep_for(600ms);
    it.start(2);
    REQUIRE(it.events.wait(2).size() == 2);
    CHECK(server.connections.wait(2).size() == 2);
}

TEST_CASE("a response sent before a long body was read is delivered", "[server]") {
    scripted_server server(short_answer);
    client_fixture it(server.address);
    start_run action;
    action.run = run_id{1};
    action.request = {"POST", "/x", {}, make_body(std::string(20'000'000, 'a'))};
    action.timeout = std::chrono::seconds{5};
    it.client.start(std::move(action));
    const auto events = it.events.wait(1);
    REQUIRE(events.size() == 1);
    CHECK(std::holds_alternative<server_answered>(events[0]));
}

TEST_CASE("what a server asks of its callers is read from every response", "[server]") {
    const auto advice_of = [](const std::string& fields) {
        scripted_server server("HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 2\r\n\r\n{}");
        client_fixture it(server.address);
        it.start(1);
        return std::get<server_answered>(it.events.wait(1).at(0)).advice;
    };
    CHECK_FALSE(advice_of("").rate_limit);
    CHECK_FALSE(advice_of("").leaving);
    CHECK(advice_of("Cornelpier-Rate-Limit: 4.7\r\n").rate_limit == rate{4.7});
    CHECK(advice_of("Cornelpier-Rate-Limit: 0\r\n").rate_limit == rate{0});
    CHECK(advice_of("Cornelpier-Leaving: 1\r\n").leaving);
    for (const std::string text : {"", "-1", "nan", "inf", "1e999", "4 per second", "abc"}) {
        const auto advice = advice_of("Cornelpier-Rate-Limit: " + text + "\r\n");
        CHECK(advice.malformed);
        CHECK_FALSE(advice.rate_limit);
    }

    const std::string report = R"({"healthy": true, "draining": false, "in_flight": 3})";
    scripted_server server("HTTP/1.1 200 OK\r\nCornelpier-Rate-Limit: 2.5\r\nContent-Length: " +
                           std::to_string(report.size()) + "\r\n\r\n" + report);
    client_fixture it(server.address);
    it.client.read_report();
    CHECK(std::get<server_report>(it.events.wait(1).at(0)).advice.rate_limit == rate{2.5});
}

// Guards against a cold server that counts as warm because its report was not understood.
TEST_CASE("the remaining warm-up time is read from health reports", "[server]") {
    const auto report_with = [](const std::string& fields) {
        const std::string body = R"({"healthy": true, "draining": false, "in_flight": 3})";
        scripted_server server("HTTP/1.1 200 OK\r\n" + fields +
                               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        client_fixture it(server.address);
        it.client.read_report();
        return std::get<server_report>(it.events.wait(1).at(0));
    };
    CHECK_FALSE(report_with("").warm_up_remaining);
    CHECK_FALSE(report_with("").warm_up_malformed);
    CHECK(report_with("Cornelpier-Warm-Up-Ms: 0\r\n").warm_up_remaining == duration::zero());
    CHECK(report_with("Cornelpier-Warm-Up-Ms: 2999.5\r\n").warm_up_remaining == duration{2'999'500});
    CHECK(report_with("Cornelpier-Warm-Up-Ms: 600000\r\n").warm_up_remaining == max_warm_up_length);
    for (const std::string text : {"", "-1", "nan", "inf", "1e999", "600001", "3s", "abc"}) {
        INFO(text);
        const auto report = report_with("Cornelpier-Warm-Up-Ms: " + text + "\r\n");
        CHECK(report.warm_up_malformed);
        CHECK_FALSE(report.warm_up_remaining);
    }
}

TEST_CASE("an invalid health report counts as failed", "[server]") {
    const std::string good = R"({"healthy": true, "draining": true, "in_flight": 3})";
    const std::string bad = R"({"healthy": "yes", "draining": true, "in_flight": 3})";
    const auto read = [](const std::string& body) {
        scripted_server server("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                               "\r\n\r\n" + body);
        client_fixture it(server.address);
        it.client.read_report();
        return it.events.wait(1).at(0);
    };

    const auto report = std::get<server_report>(read(good));
    CHECK(report.draining);
    CHECK(report.in_flight == 3);
    CHECK(std::holds_alternative<server_report_failed>(read(bad)));
    CHECK(std::holds_alternative<server_report_failed>(read("[]")));
}

} // namespace cornelpier
