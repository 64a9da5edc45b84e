#include "tests/soak/fault_schedule.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

namespace cornelpier::soak {

using std::chrono::seconds;

TEST_CASE("a seed always gives the same schedule, another seed a different one", "[soak]") {
    const auto describe = [](std::uint32_t seed) {
        std::string text;
        for (const auto& it : make_schedule(seed, 4, seconds{40})) {
            text += std::to_string(it.at.count()) + to_string(it.kind) + std::to_string(it.vm) + ' ';
        }
        return text;
    };
    CHECK(describe(7) == describe(7));
    CHECK(describe(7) != describe(8));
}

TEST_CASE("schedules are ordered, cover all event kinds and end rounds with planned operations alone",
          "[soak]") {
    std::set<fault_kind> kinds;
    int calm_rounds = 0;
    for (std::uint32_t seed = 1; seed <= 50; ++seed) {
        const auto events = make_schedule(seed, 4, seconds{16});
        CHECK(std::ranges::is_sorted(events, {}, &fault_event::at));
        std::chrono::milliseconds faulty_until{0};
        for (const auto& it : events) {
            kinds.insert(it.kind);
            if (!is_planned(it.kind)) {
                faulty_until = std::max(faulty_until, it.at + it.duration);
            }
        }
        calm_rounds += events.back().at >= faulty_until + stabilization_time ? 1 : 0;
    }
    CHECK(kinds.size() == static_cast<std::size_t>(fault_kind::unlist_server) + 1);
    CHECK(calm_rounds == 50);
}

} // namespace cornelpier::soak
