#include "platform/guest_list.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <string>

namespace cornelpier::platform {

namespace {

using namespace std::chrono_literals;

constexpr time_point start{1h};

std::string address_of(std::size_t n) {
    return "127.0.0.1:" + std::to_string(n);
}

} // namespace

TEST_CASE("further guests are refused until one has not asked for a while", "[platform][guests]") {
    guest_list guests;
    for (std::size_t n = 0; n < guest_list::max_guests; ++n) {
        REQUIRE(guests.admit(address_of(n), start));
    }
    const auto further = address_of(guest_list::max_guests);
    CHECK_FALSE(guests.admit(further, start + 1ms));
    CHECK(guests.admit(address_of(0), start + 1ms));
    CHECK(guests.addresses(start + 1ms).size() == guest_list::max_guests);

    CHECK(guests.addresses(start + guest_list::stay) == std::vector{address_of(0)});
    CHECK(guests.admit(further, start + guest_list::stay));
    CHECK(guests.addresses(start + guest_list::stay).size() == 2);
}

} // namespace cornelpier::platform
