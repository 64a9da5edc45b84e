#include "daemon/net/endpoint.hpp"
#include "daemon/platform/http_get.hpp"
#include "daemon/server/server_client.hpp"
#include "tests/broken_responses/support/faulty_server.hpp"
#include "tests/broken_responses/support/malformed_heads.hpp"
#include "tests/daemon/support/adapter_names.hpp"
#include "tests/daemon/support/running_context.hpp"

#include <catch2/catch.hpp>

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace cornelpier {

namespace {

using namespace std::chrono_literals;
using test::adapter_names;
using test::connection_end;
using test::faulty_response;

/// Longer than any exchange of these tests takes, so that one that ends by its timeout fails the test.
constexpr auto exchange_timeout = 30s;

const std::string status_line = "HTTP/1.1 200 OK\r\n";
const std::string run_fields = "X-Id: 7\r\nX-Seal: s\r\n";
const std::string report_fields = "X-Load: 1\r\nX-Seal: s\r\n";
/// Begins with a blank, which must not be taken for a folded line of the head.
const std::string report = R"( {"healthy": true,"draining":false,"in_flight": 0})";

/// @return the server of all checks, which sends the given bytes to each request from now on and closes the
/// connection. A server for each check would use up the ports of the system.
test::faulty_server& server_sending(const std::string& bytes) {
    static std::mutex mutex;
    static std::string current;
    static test::faulty_server server([](const std::string&) {
        const std::lock_guard lock(mutex);
        return faulty_response{current, connection_end::close};
    });
    const std::lock_guard lock(mutex);
    current = bytes;
    return server;
}

/// Runs an exchange with a server that sends the given bytes to each request and closes the connection.
/// @param start starts the exchange with the client.
std::optional<traffic_event> server_event(const std::string& bytes, const wire_names& names,
                                          const std::function<void(server_client&)>& start) {
    test::faulty_server& server = server_sending(bytes);
    test::running_context threads;
    test::value_recorder<traffic_event> events;
    server_client client(threads.context, {server.address, "/load", service_id{"comenzi"}, names},
                         [&](traffic_event it) { events.push(std::move(it)); });
    start(client);
    const auto all = events.wait(1);
    threads.stop();
    return all.empty() ? std::nullopt : std::optional{all.front()};
}

std::optional<traffic_event> run_event(const std::string& bytes, const wire_names& names,
                                       const std::string& method) {
    return server_event(bytes, names, [&](server_client& client) {
        start_run action;
        action.run = run_id{1};
        action.request = {method, "/x", {{"x-id", "7"}}, make_body()};
        action.timeout = exchange_timeout;
        action.deadline = exchange_timeout;
        client.start(std::move(action));
    });
}

std::string describe(const std::optional<traffic_event>& event) {
    if (!event) {
        return "no event";
    }
    if (const auto* answered = std::get_if<server_answered>(&*event)) {
        return (answered->refused ? "refused: " : "passed on: ") + *answered->response.body;
    }
    return std::holds_alternative<server_report>(*event) ? "report" : "failed";
}

std::string run_outcome(const std::string& bytes, const wire_names& names, const std::string& method) {
    return describe(run_event(bytes, names, method));
}

std::string report_outcome(const std::string& bytes, const wire_names& names) {
    return describe(server_event(bytes, names, [](server_client& client) { client.read_report(); }));
}

/// @return what a client of the store gets, which asks for the field X-Seal.
std::optional<http_get_outcome> get(const std::string& bytes) {
    test::faulty_server& store = server_sending(bytes);
    test::running_context threads;
    test::value_recorder<http_get_outcome> outcomes;
    http_get_request request;
    request.server = std::get<socket_address>(parse_address(store.address)).tcp();
    request.host = "store";
    request.path = "/";
    request.timeout = exchange_timeout;
    request.max_body_bytes = 1024;
    request.field = "X-Seal";
    http_get(threads.context, request, [&](http_get_outcome it) { outcomes.push(std::move(it)); });
    const auto all = outcomes.wait(1);
    threads.stop();
    return all.empty() ? std::nullopt : std::optional{all.front()};
}

std::string get_outcome(const std::string& bytes) {
    const auto outcome = get(bytes);
    if (!outcome) {
        return "no outcome";
    }
    return outcome->status == 0 ? "failed" : "read: " + outcome->body;
}

/// @return responses with a malformed line at each place of the head, with each framing.
std::vector<std::string> malformed_responses(const std::string& fields) {
    std::vector<std::string> responses;
    for (const auto& line : test::malformed_lines()) {
        for (const auto& framing : test::all_framings(report)) {
            for (const auto& head : {line + fields + framing.field, fields + line + framing.field,
                                     fields + framing.field + line}) {
                responses.push_back(status_line + head + "\r\n" + framing.body);
            }
        }
    }
    return responses;
}

} // namespace

TEST_CASE("a response with a malformed line in its head is no response",
          "[broken-responses][field-reports]") {
    for (const auto& bytes : malformed_responses(run_fields)) {
        INFO(test::printable(bytes));
        CHECK(run_outcome(bytes, adapter_names(), "GET") == "failed");
        CHECK(run_outcome(bytes, adapter_names(), "HEAD") == "failed");
        CHECK(run_outcome(bytes, {}, "POST") == "failed");
        CHECK(get_outcome(bytes) == "failed");
    }
}

TEST_CASE("a health report with a malformed line in its head is no report",
          "[broken-responses][field-reports]") {
    for (const auto& bytes : malformed_responses(report_fields)) {
        INFO(test::printable(bytes));
        CHECK(report_outcome(bytes, adapter_names()) == "failed");
        CHECK(report_outcome(bytes, {}) == "failed");
    }
}

// The bytes of a coding that was not undone were passed on as the body.
TEST_CASE("a response with an unknown transfer coding is no response", "[broken-responses][field-reports]") {
    for (const std::string coding : {"gzip", "identity", "xchunked", "", "\"chunked\"", "chunked;a=b",
                                     "gzip, chunked", "chunked, gzip", "chunked, chunked"}) {
        for (const std::string length : {"", "Content-Length: 3\r\n"}) {
            const std::string rest =
                "Transfer-Encoding: " + coding + "\r\n" + length + "\r\n3\r\nabc\r\n0\r\n\r\n";
            INFO(test::printable(rest));
            CHECK(run_outcome(status_line + run_fields + rest, adapter_names(), "GET") == "failed");
            CHECK(run_outcome(status_line + run_fields + rest, {}, "POST") == "failed");
            CHECK(report_outcome(status_line + report_fields + rest, adapter_names()) == "failed");
            CHECK(get_outcome(status_line + run_fields + rest) == "failed");
        }
    }
}

// The fields were merged into the head: into the seal, the id and the word that a request did not run.
TEST_CASE("fields behind a body in chunks are not taken for fields of the head",
          "[broken-responses][field-reports]") {
    std::vector<std::string> trailers = test::malformed_lines();
    for (const std::string line : {"X-Seal: other", "X-Not-Run: 1", "X-Id: 8", "Content-Encoding: gzip",
                                   "X-B: 1", "X-B: 1\r\n X-C: 2", "X-B: 1\r\n\tX-C: 2"}) {
        trailers.push_back(line + "\r\n");
    }
    for (const auto& trailer : trailers) {
        INFO(test::printable(trailer));
        const std::string rest = "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n" + trailer + "\r\n";
        const auto event = run_event(status_line + run_fields + rest, adapter_names(), "POST");
        REQUIRE(event);
        if (const auto* answered = std::get_if<server_answered>(&*event)) {
            CHECK(answered->response.fields == http_fields{{"x-id", "7"}, {"x-seal", "s"}});
            CHECK_FALSE(answered->refused);
            CHECK(*answered->response.body == "abc");
        }
        const auto outcome = get(status_line + rest);
        REQUIRE(outcome);
        CHECK_FALSE(outcome->field);
    }
}

TEST_CASE("a sound response is accepted with each framing", "[broken-responses]") {
    for (const auto& framing : test::all_framings(report)) {
        INFO(framing.name);
        const bool has_end = framing.name != "close";
        const std::string rest = framing.field + "\r\n" + framing.body;
        CHECK(run_outcome(status_line + run_fields + rest, adapter_names(), "GET") == "passed on: " + report);
        CHECK(run_outcome(status_line + run_fields + rest, {}, "POST") ==
              (has_end ? "passed on: " + report : "failed"));
        CHECK(get_outcome(status_line + run_fields + rest) == (has_end ? "read: " + report : "failed"));
        CHECK(report_outcome(status_line + report_fields + rest, adapter_names()) ==
              (has_end ? "report" : "failed"));
        CHECK(report_outcome(status_line + report_fields + rest, {}) == (has_end ? "report" : "failed"));
    }
}

} // namespace cornelpier
