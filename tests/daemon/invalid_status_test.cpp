#include "daemon/caller/response_writer.hpp"
#include "daemon/net/endpoint.hpp"
#include "daemon/platform/http_get.hpp"
#include "daemon/server/server_client.hpp"
#include "tests/daemon/support/adapter_names.hpp"
#include "tests/daemon/support/invalid_statuses.hpp"
#include "tests/daemon/support/running_context.hpp"
#include "tests/daemon/support/stub_http_server.hpp"

#include <boost/beast/http/message.hpp>
#include <catch2/catch.hpp>

#include <optional>
#include <string>

namespace cornelpier {

namespace {

using namespace std::chrono_literals;
using test::adapter_names;

/// Longer than the tests wait for an event, so that a run that ends by its timeout fails the test.
constexpr auto run_timeout = 30s;

const std::string valid_report = "HTTP/1.1 200 OK\r\nX-Load: 1\r\nContent-Length: 49\r\n\r\n"
                                 R"({"healthy": true,"draining":false,"in_flight": 0})";

const std::string valid_response = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nok";

/// Client of a server that gives the same bytes for every request.
class client_fixture {
  public:
    client_fixture(const std::string& bytes, wire_names names)
        : m_server([bytes](std::size_t, const std::string&) { return bytes; }),
          m_client(m_threads.context, {m_server.address, "/load", service_id{"comenzi"}, std::move(names)},
                   [this](traffic_event it) { m_events.push(std::move(it)); }) {}

    /// Ends runs that are still waiting, so that their connections are closed and the server's thread ends.
    /// The event of the check shows that the client has stopped.
    ~client_fixture() {
        m_client.stop();
        m_client.check();
        ++m_started;
        wait_for_event();
        m_threads.stop();
    }

    client_fixture(const client_fixture&) = delete;
    client_fixture& operator=(const client_fixture&) = delete;
    client_fixture(client_fixture&&) = delete;
    client_fixture& operator=(client_fixture&&) = delete;

    /// Sends a request and waits for its event.
    std::optional<traffic_event> run(const std::string& method) {
        start_run action;
        action.run = run_id{++m_started};
        action.request = {method, "/x", {{"x-id", "7"}}, make_body(method == "POST" ? "order" : "")};
        action.timeout = run_timeout;
        action.deadline = run_timeout;
        m_client.start(std::move(action));
        return wait_for_event();
    }

    /// Reads the health report and waits for its event.
    std::optional<traffic_event> read_report() {
        ++m_started;
        m_client.read_report();
        return wait_for_event();
    }

    [[nodiscard]] std::size_t connections() const { return m_server.connections; }

  private:
    std::optional<traffic_event> wait_for_event() {
        const auto events = m_events.wait(m_started);
        return events.size() < m_started ? std::nullopt : std::optional{events.back()};
    }

    test::stub_http_server m_server;
    test::value_recorder<traffic_event> m_events;
    test::running_context m_threads;
    server_client m_client;
    std::size_t m_started = 0;
};

/// @return what became of a run, as text for the message of a failed check.
std::string outcome_text(const std::optional<traffic_event>& event) {
    if (!event) {
        return "no event until the timeout";
    }
    if (const auto* answered = std::get_if<server_answered>(&*event)) {
        return "passed on with status " + std::to_string(answered->response.status) +
               (answered->refused ? " as a refusal" : "");
    }
    if (const auto* failed = std::get_if<server_failed>(&*event)) {
        return failed->kind == server_failure::response_incomplete ? "response incomplete" : "other failure";
    }
    if (const auto* report = std::get_if<server_report>(&*event)) {
        return report->healthy ? "healthy report" : "report of a server that is not healthy";
    }
    return std::holds_alternative<server_report_failed>(*event) ? "report failed" : "other event";
}

/// @return the outcome of a call as text; nothing if it has not ended in time.
std::string get_outcome_text(const std::string& bytes) {
    test::stub_http_server store([&](std::size_t, const std::string&) { return bytes; });
    test::running_context threads;
    test::value_recorder<http_get_outcome> outcomes;
    http_get_request request;
    request.server = std::get<socket_address>(parse_address(store.address)).tcp();
    request.host = "store";
    request.path = "/";
    request.timeout = run_timeout;
    request.max_body_bytes = 1024;
    http_get(threads.context, request, [&](http_get_outcome got) { outcomes.push(std::move(got)); });
    const auto got = outcomes.wait(1);
    threads.stop();
    if (got.empty()) {
        return "no outcome until the timeout";
    }
    return got[0].status == 0 && got[0].body.empty() ? "no response"
                                                     : "status " + std::to_string(got[0].status);
}

} // namespace

// A faulty server responded with status 000, and the caller received it. An order that such a server may have
// run must not appear as completed, and must not wait for its timeout either.
TEST_CASE("a response with an invalid status ends the run at once as incomplete",
          "[server][invalid-status][field-reports]") {
    for (const auto& names : {wire_names{}, adapter_names()}) {
        for (const std::string method : {"GET", "POST", "HEAD"}) {
            for (const auto& status : test::invalid_statuses) {
                for (const auto& it : test::make_invalid_responses(status, valid_response)) {
                    INFO(method << ' ' << it.name << (names.request_id.empty() ? "" : ", adapter"));
                    client_fixture client(it.bytes, names);
                    CHECK(outcome_text(client.run(method)) == "response incomplete");
                    // The connection is not used again.
                    CHECK(outcome_text(client.run(method)) == "response incomplete");
                    CHECK(client.connections() == 2);
                }
            }
        }
    }
}

TEST_CASE("a refusal with an invalid status proves nothing", "[server][invalid-status][field-reports]") {
    for (const auto& status : test::invalid_statuses) {
        INFO(status);
        client_fixture client("HTTP/1.1 " + status + " Odd\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
                              adapter_names());
        CHECK(outcome_text(client.run("POST")) == "response incomplete");
    }
}

TEST_CASE("a health report with an invalid status is no report", "[server][invalid-status][field-reports]") {
    for (const auto& names : {wire_names{}, adapter_names()}) {
        for (const auto& status : test::invalid_statuses) {
            for (const auto& it : test::make_invalid_responses(status, valid_report)) {
                INFO(it.name << (names.request_id.empty() ? "" : ", adapter"));
                client_fixture client(it.bytes, names);
                CHECK(outcome_text(client.read_report()) == "report failed");
                CHECK(outcome_text(client.read_report()) == "report failed");
                CHECK(client.connections() == 2);
            }
        }
    }
}

TEST_CASE("the first and last statuses of the valid range and interim responses are accepted",
          "[server][invalid-status][field-reports]") {
    for (const std::string status : {"200", "299", "404", "599"}) {
        INFO(status);
        client_fixture client("HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\nok", {});
        CHECK(outcome_text(client.run("POST")) == "passed on with status " + status);
        CHECK(get_outcome_text("HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\nok") ==
              "status " + status);
    }
    for (const std::string status : {"100", "102", "103", "199"}) {
        INFO(status);
        const std::string interim_response = "HTTP/1.1 " + status + " Odd\r\n\r\n";
        client_fixture client(interim_response + valid_response, {});
        CHECK(outcome_text(client.run("POST")) == "passed on with status 200");
    }
    client_fixture valid(valid_report, {});
    CHECK(outcome_text(valid.read_report()) == "healthy report");
    client_fixture valid_for_adapter(valid_report, adapter_names());
    CHECK(outcome_text(valid_for_adapter.read_report()) == "healthy report");
}

TEST_CASE("a GET that gets an invalid status gets no response", "[store][invalid-status][field-reports]") {
    for (const auto& status : test::invalid_statuses) {
        for (const auto& it : test::make_invalid_responses(status, valid_response)) {
            INFO(it.name);
            CHECK(get_outcome_text(it.bytes) == "no response");
        }
    }
}

TEST_CASE("no caller receives an invalid status", "[caller][invalid-status][field-reports]") {
    const auto written_status = [](int status) {
        answer_caller answer;
        answer.response.status = status;
        answer.response.body = make_body();
        response_writer writer(std::move(answer), false, false);
        return writer.serializer().get().result_int();
    };
    for (const int status : {-1, 0, 99, 100, 101, 199, 600, 999, 1000, 2000}) {
        INFO(status);
        CHECK(written_status(status) == 502);
    }
    for (const int status : {200, 404, 599}) {
        INFO(status);
        CHECK(written_status(status) == static_cast<unsigned>(status));
    }
}

} // namespace cornelpier
