#include "daemon/net/endpoint.hpp"
#include "platform/store_client.hpp"
#include "tests/daemon/support/invalid_statuses.hpp"
#include "tests/daemon/support/running_context.hpp"
#include "tests/daemon/support/stub_http_server.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <variant>

namespace cornelpier::platform {

namespace {

using namespace std::chrono_literals;

const std::string valid_page = "HTTP/1.1 200 OK\r\nStore-Era: 1\r\nContent-Length: 30\r\n\r\n"
                               R"({"current_rev": 5,"items": []})";
const std::string valid_changes = "HTTP/1.1 200 OK\r\nStore-Era: 1\r\nContent-Length: 30\r\n\r\n"
                                  R"({"current_rev": 5,"events":[]})";

/// @return the outcome as text for the message of a failed check.
template <typename Outcome>
std::string outcome_text(const std::vector<Outcome>& outcomes) {
    if (outcomes.empty()) {
        return "no outcome";
    }
    const auto* failure = std::get_if<store_failure>(&outcomes[0]);
    return failure != nullptr ? std::string{to_string(*failure)} : "valid";
}

/// A store that gives the same bytes for every request.
class store_fixture {
  public:
    explicit store_fixture(const std::string& bytes)
        : m_store([bytes](std::size_t, const std::string&) { return bytes; }),
          m_client(m_threads.context, std::get<socket_address>(parse_address(m_store.address)).tcp()) {}

    ~store_fixture() { m_threads.stop(); }

    store_fixture(const store_fixture&) = delete;
    store_fixture& operator=(const store_fixture&) = delete;
    store_fixture(store_fixture&&) = delete;
    store_fixture& operator=(store_fixture&&) = delete;

    std::string list() {
        m_client.list("svc/", "", [this](page_outcome it) { m_pages.push(std::move(it)); });
        return outcome_text(m_pages.wait(1));
    }

    std::string watch() {
        m_client.watch("svc/", 4, 10s, [this](changes_outcome it) { m_changes.push(std::move(it)); });
        return outcome_text(m_changes.wait(1));
    }

  private:
    test::stub_http_server m_store;
    test::value_recorder<page_outcome> m_pages;
    test::value_recorder<changes_outcome> m_changes;
    test::running_context m_threads;
    store_client m_client;
};

} // namespace

// A faulty store or a proxy before it may respond with a status that no response has. Nothing may be derived
// from such a response, and a watch must not wait for its timeout of 11 s.
TEST_CASE("a call of the store that gets an invalid status fails", "[store][invalid-status][field-reports]") {
    for (const auto& status : test::invalid_statuses) {
        for (const auto& it : test::make_invalid_responses(status, valid_page)) {
            INFO("list " << it.name);
            CHECK(store_fixture(it.bytes).list() == "unreachable");
        }
        for (const auto& it : test::make_invalid_responses(status, valid_changes)) {
            INFO("watch " << it.name);
            CHECK(store_fixture(it.bytes).watch() == "unreachable");
        }
    }
}

TEST_CASE("valid responses of the store are read", "[store][invalid-status][field-reports]") {
    CHECK(store_fixture(valid_page).list() == "valid");
    CHECK(store_fixture(valid_changes).watch() == "valid");
}

} // namespace cornelpier::platform
