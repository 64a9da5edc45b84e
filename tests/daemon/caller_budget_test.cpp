#include "daemon/caller/caller_server.hpp"
#include "tests/daemon/support/raw_connection.hpp"
#include "tests/daemon/support/running_context.hpp"
#include "tests/process/support/becomes_true.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

namespace cornelpier {

namespace {

using namespace std::chrono_literals;
using test::becomes_true;
using test::raw_connection;

constexpr std::size_t mib = std::size_t{1024} * 1024;

/// Server with a budget that responds to every call with a body of a given size.
class budgeted_server {
  public:
    explicit budgeted_server(std::size_t limit, std::size_t response_size, caller_options options = {})
        : address(test::free_address()), budget(std::make_shared<byte_budget>(limit)),
          m_response(make_body(std::string(response_size, 'r'))),
          server(
              threads.context, complete(std::move(options)),
              [this](const traffic_event& it) { on_event(it); },
              [this](const event_record& it) { events.push(it.number); }) {
        REQUIRE(server.bind().reason.empty());
        server.start();
    }

    ~budgeted_server() { threads.stop(); }

    budgeted_server(const budgeted_server&) = delete;
    budgeted_server& operator=(const budgeted_server&) = delete;
    budgeted_server(budgeted_server&&) = delete;
    budgeted_server& operator=(budgeted_server&&) = delete;

    std::string address;
    std::shared_ptr<byte_budget> budget;

  private:
    caller_options complete(caller_options options) const {
        options.address = address;
        options.budget = budget;
        return options;
    }

    void on_event(const traffic_event& event) {
        if (const auto* call = std::get_if<call_arrived>(&event)) {
            answer_caller answer;
            answer.call = call->call;
            answer.response.status = 200;
            answer.response.body = m_response;
            answer.outcome = verdict::ran;
            server.answer(std::move(answer));
        }
    }

    shared_body m_response;

  public:
    test::value_recorder<event_number> events;
    test::running_context threads;
    caller_server server;
};

std::string get(const std::string& path) {
    return "GET " + path + " HTTP/1.1\r\nHost: comenzi\r\n\r\n";
}

std::string post_head(std::size_t size) {
    return "POST /orders HTTP/1.1\r\nHost: comenzi\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n";
}

std::string status_of(const std::string& address, const std::string& request) {
    raw_connection connection{address};
    connection.send(request);
    return connection.read_until("\r\n").substr(0, 12);
}

} // namespace

// Guards against responses that pile up for callers that read nothing.
TEST_CASE("unread responses stay within the budget and end with a short answer", "[memory]") {
    constexpr std::size_t response_size = 8 * mib;
    budgeted_server server{32 * mib, response_size};
    {
        std::vector<std::unique_ptr<raw_connection>> silent;
        for (int n = 0; n < 12; ++n) {
            silent.push_back(std::make_unique<raw_connection>(server.address));
            silent.back()->send(get("/download"));
        }
        CHECK(becomes_true(10s, [&] { return server.budget->usage().refusals > 0; }));
        CHECK(server.budget->usage().used <= 32 * mib);
        // The silent callers are disconnected, so that an ordinary one is answered in the end.
        CHECK(becomes_true(10s, [&] { return status_of(server.address, get("/small")) == "HTTP/1.1 200"; }));
    }
    CHECK(becomes_true(10s, [&] { return server.budget->usage().used == 0; }));
}

// Guards against bodies that stop short of their end and keep others out.
TEST_CASE("a body without progress loses its room when others need it", "[memory]") {
    budgeted_server server{mib, 2};
    const std::string body(700'000, 'x');
    raw_connection stalled{server.address};
    stalled.send(post_head(body.size()) + body.substr(1));
    REQUIRE(becomes_true(5s, [&] { return server.budget->usage().used >= body.size() - 1; }));

    // Refused as not run, while small requests are served.
    CHECK(status_of(server.address, post_head(body.size()) + body) == "HTTP/1.1 503");
    CHECK(status_of(server.address, post_head(5) + "small") == "HTTP/1.1 200");
    CHECK(becomes_true(
        10s, [&] { return status_of(server.address, post_head(body.size()) + body) == "HTTP/1.1 200"; }));
    CHECK(stalled.read_until("\r\n").starts_with("HTTP/1.1 408"));
    CHECK(becomes_true(5s, [&] { return server.budget->usage().used < 1024; }));
}

// Guards against connections that send nothing and use up the number that is allowed.
TEST_CASE("connections without progress make room for others", "[memory]") {
    caller_options options;
    options.max_connections = 8;
    options.head_timeout = 60s;
    budgeted_server server{mib, 2, options};
    std::vector<std::unique_ptr<raw_connection>> stalled;
    for (int n = 0; n < 8; ++n) {
        stalled.push_back(std::make_unique<raw_connection>(server.address));
        stalled.back()->send("GET /");
    }
    REQUIRE(becomes_true(5s, [&] { return server.server.connections() == 8; }));
    CHECK(becomes_true(20s, [&] { return status_of(server.address, get("/x")) == "HTTP/1.1 200"; }));
    CHECK(server.events.wait(1).at(0) == event_number::caller_without_progress);
}

// Guards against heads that need many times their size once they are parsed.
TEST_CASE("a head with very many fields is refused before it is parsed", "[memory]") {
    budgeted_server server{mib, 2};
    std::string fields;
    for (int n = 0; n < 255; ++n) {
        fields += "a:\r\n";
    }
    const std::string start = "GET / HTTP/1.1\r\nHost: comenzi\r\n";
    CHECK(status_of(server.address, start + fields + "\r\n") == "HTTP/1.1 200");
    CHECK(status_of(server.address, start + fields + "a:\r\n\r\n") == "HTTP/1.1 431");
}

// Guards against bodies that are read although no destination is known for them.
TEST_CASE("a large body without a destination is refused before it arrives", "[memory]") {
    caller_options options;
    options.refuse_from_head = true;
    budgeted_server server{mib, 2, options};
    CHECK(status_of(server.address, post_head(100'000)) == "HTTP/1.1 503");
    CHECK(server.budget->usage().refusals == 0);

    auto view = std::make_shared<fleet_view>();
    view->current_plan = std::make_shared<const plan>();
    server.server.set_view(view);
    CHECK(status_of(server.address, post_head(100'000)) == "HTTP/1.1 404");
    CHECK(status_of(server.address, post_head(5) + "small") == "HTTP/1.1 200");
}

} // namespace cornelpier
