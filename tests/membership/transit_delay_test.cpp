#include "cornelpier/membership/transit_delay.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

namespace cornelpier {

namespace {

using std::chrono::milliseconds;

const target_id sender{"10.0.0.1"};
const incarnation process{1};
const incarnation next_process{2};

/// Difference between the clocks of receiver and sender, with the shortest time under way.
constexpr duration offset = std::chrono::hours{5};

constexpr time_point start{std::chrono::hours{6}};

/// Time between two datagrams.
constexpr duration interval = milliseconds{500};

} // namespace

TEST_CASE("the delay of a message is what exceeds the fastest datagram of its sender", "[membership]") {
    transit_delay_estimator delays;
    CHECK_FALSE(delays.delay_on_link(sender, process, start - offset, start));
    CHECK(delays.on_datagram(sender, process, start - offset, start) == duration::zero());
    CHECK(delays.on_datagram(sender, process, start - offset, start + interval) == interval);
    CHECK(delays.delay_on_link(sender, process, start - offset, start + interval) == interval);

    const duration faster = milliseconds{3};
    CHECK(delays.delay_on_link(sender, process, start - offset, start - faster) == duration::zero());
    CHECK(delays.on_datagram(sender, process, start - offset, start - faster) == duration::zero());
    CHECK(delays.on_datagram(sender, process, start - offset, start) == faster);
}

TEST_CASE("a sender's new process starts over", "[membership]") {
    transit_delay_estimator delays;
    delays.on_datagram(sender, process, start - offset, start);
    CHECK_FALSE(delays.delay_on_link(sender, next_process, start, start));
    CHECK(delays.on_datagram(sender, next_process, time_point{}, start) == duration::zero());
}

TEST_CASE("clocks that drift apart are no delay in the long run", "[membership]") {
    transit_delay_estimator delays;
    const auto drift_at = [](duration elapsed) { return elapsed / 10'000; };
    duration longest{};
    for (duration elapsed{}; elapsed < std::chrono::hours{1}; elapsed += interval) {
        const auto sent_at = start + elapsed - offset - drift_at(elapsed);
        longest = std::max(longest, delays.on_datagram(sender, process, sent_at, start + elapsed).value());
    }
    CHECK(longest <= drift_at(2 * transit_delay_estimator::window));
}

TEST_CASE("a time that no clock shows tells nothing", "[membership]") {
    transit_delay_estimator delays;
    CHECK_FALSE(delays.on_datagram(sender, process, time_point::max(), start));
    CHECK_FALSE(delays.on_datagram(sender, process, time_point::min(), start));
    CHECK(delays.sender_count() == 0);
}

TEST_CASE("the table of senders is bounded and forgets the one heard least recently", "[membership]") {
    transit_delay_estimator delays;
    const auto name = [](std::size_t n) { return target_id{std::to_string(n)}; };
    for (std::size_t n = 0; n <= transit_delay_estimator::max_senders; ++n) {
        delays.on_datagram(name(n), process, start, start + static_cast<duration::rep>(n) * interval);
    }
    CHECK(delays.sender_count() == transit_delay_estimator::max_senders);
    CHECK_FALSE(delays.delay_on_link(name(0), process, start, start));
    CHECK(delays.delay_on_link(name(1), process, start, start));
}

} // namespace cornelpier
