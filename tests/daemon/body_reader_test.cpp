#include "daemon/caller/body_reader.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <string>

namespace cornelpier {

namespace {

constexpr std::size_t mib = std::size_t{1024} * 1024;

/// Parser that has read the head of a request.
class open_request {
  public:
    open_request(const std::string& framing, std::size_t limit) {
        parser.eager(false);
        parser.body_limit(limit);
        const std::string head = "POST / HTTP/1.1\r\nHost: a\r\n" + framing + "\r\n\r\n";
        boost::system::error_code ec;
        REQUIRE(parser.put(boost::asio::buffer(head), ec) == head.size());
        REQUIRE_FALSE(ec);
    }

    body_progress feed(body_reader& reader, std::string_view bytes) {
        input.commit(boost::asio::buffer_copy(input.prepare(bytes.size()), boost::asio::buffer(bytes)));
        return reader.read(parser, input, reason);
    }

    caller_request_parser parser;
    boost::beast::flat_buffer input;
    std::string reason;
};

std::size_t body_bytes(const byte_budget& budget) {
    return budget.usage().by_kind.at(static_cast<std::size_t>(held_bytes::request_bodies));
}

} // namespace

// Guards against callers that announce large bodies and send one byte.
TEST_CASE("an announced length takes nothing of the budget before bytes arrive", "[memory]") {
    const auto budget = std::make_shared<byte_budget>(budget_bytes(160), sole_budget_bytes(160));
    body_reader reader{budget, 64 * mib};
    open_request request{"Content-Length: 67108864", 64 * mib};
    CHECK(request.feed(reader, "x") == body_progress::incomplete);
    CHECK(body_bytes(*budget) < 1024);
    CHECK(request.parser.get().body().capacity() < 1024);
}

// Guards against a single legal request that is refused on a VM of 160 MB, in either framing.
TEST_CASE("a body of 64 MiB is read within the budget of a small VM", "[memory]") {
    const auto budget = std::make_shared<byte_budget>(budget_bytes(160), sole_budget_bytes(160));
    const bool chunked = GENERATE(true, false);
    const std::string piece(32 * 1024, 'x');
    {
        body_reader reader{budget, 64 * mib};
        open_request request{chunked ? "Transfer-Encoding: chunked" : "Content-Length: 67108864", 64 * mib};
        auto progress = body_progress::incomplete;
        for (std::size_t sent = 0; sent < 64 * mib; sent += piece.size()) {
            REQUIRE(progress == body_progress::incomplete);
            progress = request.feed(reader, chunked ? "8000\r\n" + piece + "\r\n" : piece);
        }
        if (chunked) {
            REQUIRE(progress == body_progress::incomplete);
            progress = request.feed(reader, "0\r\n\r\n");
        }
        REQUIRE(progress == body_progress::complete);
        auto body = reader.take(request.parser);
        CHECK(body->size() == 64 * mib);
        CHECK(body_bytes(*budget) == 64 * mib);
        CHECK(std::ranges::all_of(*body, [](char c) { return c == 'x'; }));
    }
    CHECK(budget->usage().used == 0);
}

TEST_CASE("a body that finds no room is refused and keeps nothing once deleted", "[memory]") {
    const auto budget = std::make_shared<byte_budget>(mib);
    {
        body_reader reader{budget, 64 * mib};
        open_request request{"Transfer-Encoding: chunked", 64 * mib};
        auto progress = body_progress::incomplete;
        int pieces = 0;
        while (progress == body_progress::incomplete && pieces < 64) {
            progress = request.feed(reader, "8000\r\n" + std::string(32 * 1024, 'x') + "\r\n");
            ++pieces;
        }
        CHECK(progress == body_progress::no_room);
        CHECK(budget->usage().used <= mib);
    }
    CHECK(budget->usage().used == 0);
}

TEST_CASE("bodies over the limit and malformed chunks are told apart", "[memory]") {
    body_reader reader{nullptr, 10};
    SECTION("over the limit") {
        open_request request{"Transfer-Encoding: chunked", 10};
        CHECK(request.feed(reader, "b\r\nxxxxxxxxxxx\r\n") == body_progress::too_large);
    }
    SECTION("malformed") {
        open_request request{"Transfer-Encoding: chunked", 10};
        CHECK(request.feed(reader, "zz\r\n") == body_progress::malformed);
        CHECK_FALSE(request.reason.empty());
    }
}

} // namespace cornelpier
