#include "daemon/server/server_client.hpp"
#include "tests/broken_responses/support/faulty_server.hpp"
#include "tests/daemon/support/adapter_names.hpp"
#include "tests/daemon/support/running_context.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace cornelpier {

namespace {

using namespace std::chrono_literals;
using test::adapter_names;
using test::connection_end;
using test::faulty_response;

constexpr std::size_t kib = 1024;
constexpr std::size_t mib = 1024 * kib;

/// Longer than any run of these tests takes, so that a run that ends by its timeout fails the test.
constexpr auto run_timeout = 30s;
constexpr auto patience = 10s;

const std::string fields = "X-Id: 7\r\nX-Seal: s\r\n";
const std::string unframed = "HTTP/1.1 200 OK\r\n" + fields + "\r\n";

/// From uploads that fit into the buffers of the sockets to such that do not.
constexpr std::array upload_sizes{1 * kib, 100 * kib, 600 * kib, 2 * mib, 8 * mib, 24 * mib};

/// Outcome of one upload.
struct upload_outcome {
    std::string text;             ///< The body that was passed on, or why there was none.
    std::size_t unread_bytes = 0; ///< That the server left behind.
};

std::string describe(const std::optional<traffic_event>& event) {
    if (!event) {
        return "no event";
    }
    const auto* answered = std::get_if<server_answered>(&*event);
    if (answered == nullptr) {
        return "failed";
    }
    return answered->refused ? "refused" : *answered->response.body;
}

/// Uploads `size` bytes to a server that responds as given.
upload_outcome upload(std::size_t size, const faulty_response& response) {
    upload_outcome outcome;
    test::running_context threads;
    test::value_recorder<traffic_event> events;
    {
        test::faulty_server server([&](const std::string&) { return response; });
        server_client client(threads.context,
                             {server.address, "/load", service_id{"comenzi"}, adapter_names()},
                             [&](traffic_event it) { events.push(std::move(it)); });
        start_run action;
        action.run = run_id{1};
        action.request = {"POST", "/x", {{"x-id", "7"}}, make_body(std::string(size, 'a'))};
        action.timeout = run_timeout;
        action.deadline = run_timeout;
        client.start(std::move(action));
        const auto all = events.wait(1, patience);
        outcome.text = describe(all.empty() ? std::nullopt : std::optional{all.front()});
        // Closes the connection, so that the server's thread ends.
        client.stop();
        client.check();
        events.wait(2);
        outcome.unread_bytes = server.unread_bytes();
    }
    threads.stop();
    return outcome;
}

std::string describe(std::size_t size, std::size_t read) {
    return std::to_string(size / kib) + " KiB, " + std::to_string(read / kib) + " KiB read";
}

} // namespace

// The write of the rest of the request got the error of the reset, so that the read saw only an end.
TEST_CASE("a response without a length that is reset during the upload is incomplete",
          "[broken-responses][field-reports]") {
    const std::vector<std::string> responses{
        unframed + "part",
        unframed,
        "HTTP/1.1 500 Error\r\n" + fields + "\r\npart",
        "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n\r\npart",
    };
    for (const auto& bytes : responses) {
        for (const std::size_t size : upload_sizes) {
            for (const std::size_t read : {std::size_t{0}, size / 2}) {
                for (const auto end : {connection_end::reset, connection_end::close}) {
                    INFO(bytes.substr(0, 12) << ", " << describe(size, read) << ", "
                                             << (end == connection_end::reset ? "reset" : "closed"));
                    const auto outcome = upload(size, {bytes, end, read});
                    if (end == connection_end::reset || outcome.unread_bytes > 0) {
                        CHECK(outcome.text == "failed");
                    }
                }
            }
        }
    }
}

// The server closes the connection first and resets it when more of the request arrives.
TEST_CASE("a response without a length is incomplete if more of the upload arrives after its end",
          "[broken-responses][field-reports]") {
    std::size_t left_behind = 0;
    for (const std::size_t size : upload_sizes) {
        for (int n = 0; n < 10; ++n) {
            INFO(describe(size, 0));
            const auto outcome = upload(size, {unframed + "part", connection_end::drained_close});
            const bool is_whole_request = outcome.unread_bytes == 0;
            left_behind += is_whole_request ? 0 : 1;
            CHECK(outcome.text == (is_whole_request ? "part" : "failed"));
        }
    }
    CHECK(left_behind > 0);
    for (const std::size_t size : {8 * mib, 24 * mib}) {
        INFO(describe(size, 0) << ", late reset");
        CHECK(upload(size, {unframed + "part", connection_end::late_reset}).text == "failed");
    }
}

TEST_CASE("a whole response that comes before the end of the upload is delivered",
          "[broken-responses][field-reports]") {
    const std::string with_length = "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 5\r\n\r\nwhole";
    const std::string in_chunks =
        "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
    for (const std::size_t size : upload_sizes) {
        INFO(describe(size, 0));
        using enum connection_end;
        for (const auto& bytes : {with_length, in_chunks}) {
            for (const auto end : {reset, close, drained_close, half_close, silent_half_close, keep_open}) {
                INFO(bytes.substr(bytes.find("\r\n\r\n") - 10, 10) << ", end " << static_cast<int>(end));
                CHECK(upload(size, {bytes, end}).text == "whole");
            }
        }
        CHECK(upload(size, {unframed + "whole", half_close}).text == "whole");
        CHECK(upload(size, {unframed + "whole", silent_half_close}).text == "whole");
        CHECK(upload(size, {unframed + "whole", close, size}).text == "whole");
    }
}

TEST_CASE("a response with a length or in chunks that breaks off during the upload is incomplete",
          "[broken-responses][field-reports]") {
    for (const std::string framing :
         {"Content-Length: 9\r\n\r\npart", "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"}) {
        for (const std::size_t size : upload_sizes) {
            using enum connection_end;
            for (const auto end : {reset, close, drained_close, half_close}) {
                INFO(framing << ", " << describe(size, 0) << ", end " << static_cast<int>(end));
                CHECK(upload(size, {"HTTP/1.1 200 OK\r\n" + fields + framing, end}).text == "failed");
            }
        }
    }
}

} // namespace cornelpier
