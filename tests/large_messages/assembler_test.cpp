#include "cornelpier/base/random_source.hpp"

#include "daemon/link/fragment_assembler.hpp"
#include "daemon/net/body_growth.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

namespace cornelpier {

namespace {

constexpr std::size_t limit = 100'000;

std::string fragment(const fragment_header& header, std::size_t data) {
    std::string frame;
    append_header(frame, header);
    return frame.append(data, 'd');
}

/// An assembler with a small budget that adds fragments of messages with a head of 10 bytes.
class assembler_fixture {
  public:
    std::shared_ptr<assembly_budget> budget = std::make_shared<assembly_budget>(limit);
    fragment_assembler assembler{budget};

    fragment_assembler::outcome add(std::uint32_t message, std::uint32_t body, std::uint32_t offset,
                                    std::size_t data) {
        return assembler.add(fragment({fragment_kind::data, message, 10, body, offset}, data), {});
    }

    bool is_pending(std::uint32_t message, std::uint32_t body, std::uint32_t offset, std::size_t data) {
        return std::holds_alternative<std::monostate>(add(message, body, offset, data));
    }
};

bool is_malformed(const fragment_assembler::outcome& outcome) {
    const auto* problem = std::get_if<assembly_error>(&outcome);
    return problem != nullptr && problem->number == event_number::link_message_malformed;
}

} // namespace

TEST_CASE("fragments of interleaved messages are put together", "[large-messages]") {
    assembler_fixture it;
    CHECK(it.is_pending(1, 5000, 0, 4000));
    CHECK(it.is_pending(2, 90, 0, 50));
    CHECK(it.budget->in_use() == 4050);
    const auto second = it.add(2, 90, 50, 50);
    REQUIRE(std::holds_alternative<assembled_message>(second));
    CHECK(std::get<assembled_message>(second).head.size() == 10);
    CHECK(std::get<assembled_message>(second).body.size() == 90);
    CHECK(std::holds_alternative<assembled_message>(it.add(1, 5000, 4000, 1010)));
    CHECK(it.budget->in_use() == 0);
    CHECK(it.assembler.open_messages() == 0);
}

// A gap or a repeated part would give a body of the right length with wrong bytes.
TEST_CASE("fragments that do not follow each other are malformed", "[large-messages]") {
    assembler_fixture it;
    REQUIRE(it.is_pending(3, 5000, 0, 1000));
    SECTION("gap") {
        CHECK(is_malformed(it.add(3, 5000, 1001, 100)));
    }
    SECTION("repeated") {
        CHECK(is_malformed(it.add(3, 5000, 0, 1000)));
    }
    SECTION("unknown message") {
        CHECK(is_malformed(it.add(4, 5000, 1000, 100)));
    }
    SECTION("number used before") {
        CHECK(is_malformed(it.add(2, 5000, 0, 100)));
    }
    SECTION("other length") {
        CHECK(is_malformed(it.add(3, 5001, 1000, 100)));
    }
    SECTION("longer than announced") {
        CHECK(is_malformed(it.add(3, 5000, 1000, 4011)));
    }
    SECTION("empty") {
        CHECK(is_malformed(it.add(3, 5000, 1000, 0)));
    }
    SECTION("too large") {
        CHECK(is_malformed(it.add(5, 50'000, 0, max_fragment_bytes + 1)));
    }
    SECTION("header cut off") {
        CHECK(is_malformed(it.assembler.add(std::string(16, '\0'), {})));
    }
    SECTION("message without a head") {
        CHECK(is_malformed(it.assembler.add(fragment({fragment_kind::data, 5, 0, 10, 0}, 5), {})));
    }
    SECTION("end of an unknown message") {
        CHECK(is_malformed(it.assembler.add(fragment({fragment_kind::abort, 5, 0, 0, 0}, 0), {})));
    }
    SECTION("after its end") {
        REQUIRE(std::holds_alternative<std::monostate>(
            it.assembler.add(fragment({fragment_kind::abort, 3, 0, 0, 0}, 0), {})));
        CHECK(it.budget->in_use() == 0);
        CHECK(is_malformed(it.add(3, 5000, 1000, 100)));
    }
}

// Without these bounds, peers that open messages without completing them fill the memory.
TEST_CASE("incomplete messages are bounded in number, size and sum", "[large-messages]") {
    assembler_fixture it;
    SECTION("number") {
        for (std::uint32_t n = 1; n <= max_open_messages; ++n) {
            REQUIRE(it.is_pending(n, 5000, 0, 10));
        }
        CHECK(is_malformed(it.add(max_open_messages + 1, 5000, 0, 10)));
    }
    SECTION("size") {
        CHECK(it.is_pending(1, limit - 10, 0, 10));
        CHECK(is_malformed(it.add(2, limit - 9, 0, 10)));
        CHECK(is_malformed(it.add(3, 0xffffffff, 0, 10)));
    }
    SECTION("sum over all links") {
        fragment_assembler other{it.budget};
        for (std::uint32_t n = 0; n < 6; ++n) {
            REQUIRE(it.is_pending(1, limit - 10, n * 16'000, 16'000));
        }
        const auto full = other.add(fragment({fragment_kind::data, 1, 10, 50'000, 0}, 4'001), {});
        REQUIRE(std::holds_alternative<assembly_error>(full));
        CHECK(std::get<assembly_error>(full).number == event_number::link_assembly_full);
        CHECK(it.budget->in_use() == 96'000);
    }
}

// Bytes that stay counted after the end of a link would refuse large messages for good.
TEST_CASE("the end of an assembler returns its bytes to the budget", "[large-messages]") {
    const auto budget = std::make_shared<assembly_budget>(limit);
    {
        fragment_assembler assembler{budget};
        assembler.add(fragment({fragment_kind::data, 1, 10, 5000, 0}, 100), {});
        CHECK(budget->in_use() == 100);
    }
    CHECK(budget->in_use() == 0);
}

TEST_CASE("random bytes neither complete a message nor exceed the bounds", "[large-messages]") {
    random_source random{7};
    for (int round = 0; round < 200; ++round) {
        assembler_fixture it;
        bool failed = false;
        for (int n = 0; n < 200 && !failed; ++n) {
            // Small numbers reach the later checks.
            std::string frame(static_cast<std::size_t>(random.unit() * 60), '\0');
            std::ranges::generate(frame, [&] {
                return random.unit() < 0.8 ? '\0' : static_cast<char>(random.unit() * (n % 2 == 0 ? 256 : 3));
            });
            const auto outcome = it.assembler.add(frame, {});
            failed = std::holds_alternative<assembly_error>(outcome);
            REQUIRE(it.budget->in_use() <= limit);
            REQUIRE(it.assembler.open_messages() <= max_open_messages);
        }
        CHECK(failed);
    }
}

// Growth by doubling holds up to three times a body of 64 MiB; reserving the announced length at once lets a
// peer that sends nothing reserve it.
TEST_CASE("the memory for a body grows with what has arrived", "[large-messages]") {
    constexpr std::size_t mib = std::size_t{1024} * 1024;
    const auto expected = GENERATE(std::size_t{1}, 1000 * std::size_t{1024}, 20 * mib, 33 * mib, 64 * mib);
    std::string body;
    std::size_t old_capacity = 0;
    while (body.size() < expected) {
        const std::size_t part = std::min<std::size_t>(16'384, expected - body.size());
        reserve_for_append(body, part, expected);
        if (body.capacity() != old_capacity && body.size() > 0) {
            REQUIRE(2 * body.size() <= std::max(expected, 2 * first_body_capacity));
            REQUIRE(body.capacity() <= 8 * (body.size() + part));
        }
        old_capacity = body.capacity();
        body.append(part, 'x');
    }
    CHECK(body.capacity() <= std::max<std::size_t>(expected, 15));
}

} // namespace cornelpier
