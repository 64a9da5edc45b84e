#include "tests/server_advice/advised_fleet.hpp"
#include "tests/support/plan_sheet.hpp"
#include "tests/support/single_service.hpp"
#include "tests/warm_up/start_counter.hpp"

#include <catch2/catch.hpp>

#include <map>

namespace cornelpier::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr rate cold_rate{5.3};
constexpr duration warm_up = seconds{3};
constexpr std::size_t targets = 12;

fleet_settings settings() {
    fleet_settings result = single_service_settings(targets, milliseconds{80});
    plan sheet = *result.initial_plan;
    service_plan& service = sheet.services.front();
    service.measuring = rate{54};
    service.slots = 6;
    service.warm_up = warm_up_plan{warm_up, cold_rate};
    service.rules.insert(service.rules.begin(), {"HEAD", "/", true, request_class::patient_lookup});
    result.initial_plan = finalize_plan(std::move(sheet));
    result.default_server.slots = service.slots;
    return result;
}

/// A fleet of three data centres whose servers turn cold, and what they get while they are cold.
class cold_fleet : public advised_fleet {
  public:
    cold_fleet() : advised_fleet(settings()) {}

    [[nodiscard]] static bool is_in_first_data_centre(std::size_t n) { return n % 3 == 0; }

    void turn_cold(std::size_t n, duration length = warm_up) {
        nodes().server(target(n)).turn_cold(length);
        m_cold.push_back({target(n), now(), now() + length});
    }

    /// @return the largest number of requests that a server got in a second of its cold time.
    [[nodiscard]] std::size_t most_while_cold() {
        std::size_t most = 0;
        for (const auto& period : m_cold) {
            start_counter counter;
            for (const auto& it : nodes().records().executions) {
                if (it.target == period.target && it.at >= period.from && it.at < period.until) {
                    counter.add(it.at);
                }
            }
            most = std::max(most, counter.most_in_a_second());
        }
        return most;
    }

  private:
    struct cold_period {
        target_id target;
        time_point from;
        time_point until;
    };
    std::vector<cold_period> m_cold;
};

} // namespace

// Guards against a burst that reaches the servers of a data centre before their owners know that they are
// cold.
TEST_CASE("a data centre that returns cold during a burst gets at most the bound", "[warm-up][fleet]") {
    cold_fleet it;
    it.press(rate{200}, seconds{3});
    const auto each = [&](auto&& action) {
        for (std::size_t n = 0; n < targets; ++n) {
            if (cold_fleet::is_in_first_data_centre(n)) {
                action(n);
            }
        }
    };
    each([&](std::size_t n) { it.nodes().server(it.target(n)).set_down(true); });
    it.press(rate{200}, seconds{2});
    const time_point back_at = it.now();
    each([&](std::size_t n) {
        it.nodes().server(it.target(n)).set_down(false);
        it.turn_cold(n);
    });
    it.press(rate{600}, warm_up);
    CHECK(it.most_while_cold() <= start_counter::allowed(cold_rate));
    // They serve what they can, and as much as the others soon after.
    each([&](std::size_t n) { CHECK(it.arrivals(n, back_at, it.now()) >= 6); });
    it.press(rate{200}, seconds{1});
    const time_point warm_at = it.now();
    it.press(rate{200}, seconds{4});
    each([&](std::size_t n) { CHECK(it.arrivals(n, warm_at, it.now()) >= 30); });
}

// Guards against a server that turns cold at full traffic, without a restart, getting what was on its way.
TEST_CASE("servers that turn cold at any moment get at most the bound", "[warm-up][fleet]") {
    cold_fleet it;
    it.press(rate{500}, seconds{2});
    for (std::size_t n = 0; n < targets; ++n) {
        it.turn_cold(n);
        it.press(rate{500}, milliseconds{370});
    }
    it.press(rate{500}, seconds{3});
    CHECK(it.most_while_cold() <= start_counter::allowed(cold_rate));
}

// Guards against the bound being exceeded by an owner that has forgotten the runs of its predecessor.
TEST_CASE("owners that are restarted while their servers are cold keep to the bound", "[warm-up][fleet]") {
    cold_fleet it;
    it.press(rate{300}, seconds{2});
    for (std::size_t n = 0; n < 4; ++n) {
        it.turn_cold(n, seconds{8});
    }
    for (int round = 0; round < 5; ++round) {
        it.press(rate{300}, milliseconds{1300});
        for (std::size_t n = 0; n < 4; ++n) {
            it.nodes().restart(it.target(n));
        }
    }
    it.press(rate{300}, seconds{1});
    CHECK(it.most_while_cold() <= start_counter::allowed(cold_rate));
}

// Guards against callers that wait although no server can serve them, and against urgent ones refused first.
TEST_CASE("with all servers cold the urgent class is served and the others are refused at once",
          "[warm-up][fleet]") {
    cold_fleet it;
    it.press(rate{60}, seconds{3});
    for (std::size_t n = 0; n < targets; ++n) {
        it.turn_cold(n, seconds{8});
    }
    it.press(rate{150}, seconds{2}, {"GET", "POST", "HEAD"});
    const time_point from = it.now();
    it.press(rate{150}, seconds{5}, {"GET", "POST", "HEAD"});
    const time_point until = it.now();
    it.press(rate{1}, seconds{3});

    CHECK(it.most_while_cold() <= start_counter::allowed(cold_rate));
    const auto served = [&](const char* method) { return it.calls_with(method, 200, from, until).size(); };
    const auto refused = [&](const char* method) { return it.calls_with(method, 503, from, until).size(); };
    CHECK(served("POST") >= 9 * refused("POST"));
    CHECK(served("POST") + served("GET") + served("HEAD") >= 5 * 12 * 5 * 8 / 10);
    CHECK(served("HEAD") <= served("POST"));
    CHECK(refused("HEAD") >= 100);
    std::size_t slow = 0;
    for (const auto& call : it.calls_with("HEAD", 503, from, until)) {
        CHECK(call.answers.front().outcome == verdict::not_run);
        CHECK(call.answers.front().retry_after > duration::zero());
        slow += call.answers.front().at - call.sent > milliseconds{250} ? 1 : 0;
    }
    CHECK(slow * 10 <= refused("HEAD"));
}

} // namespace cornelpier::testing
