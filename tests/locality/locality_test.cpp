#include "tests/support/fleet.hpp"
#include "tests/support/single_service.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

namespace cornelpier::testing {

namespace {

constexpr duration service_time = std::chrono::milliseconds{100};
constexpr duration caller_patience = std::chrono::milliseconds{1000};

/// Price at which small exchanges may leave, and one at which none does.
constexpr duration low_cost = std::chrono::milliseconds{100};
constexpr duration prohibitive_cost = std::chrono::seconds{100};

/// Calls that the four targets of a data centre serve easily: they have 32 slots of 100 ms.
constexpr rate easy_load{120};

/// Calls of which the three targets of the other one can serve half.
constexpr rate excess_load{480};

/// Two data centres 10 ms apart: dc0 with three servers and more calls than they can serve, dc1 with four.
class uneven_fleet {
  public:
    explicit uneven_fleet(duration cost_per_kilobyte = low_cost) : m_fleet(make_settings(cost_per_kilobyte)) {
        m_fleet.queue().run_until(now() + std::chrono::seconds{1});
    }

    /// Sends calls to both data centres, with bodies that the servers return.
    void press(rate small_side, rate large_side, std::size_t body_size, duration length) {
        const time_point end = now() + length;
        time_point next_small = now();
        time_point next_large = now();
        while (std::min(next_small, next_large) < end) {
            const bool is_small = next_small <= next_large;
            time_point& next = is_small ? next_small : next_large;
            m_fleet.queue().run_until(next);
            next += from_seconds(1 / (is_small ? small_side : large_side).per_second);
            send(is_small ? m_calls % 3 : 3 + m_calls % 4, body_size);
        }
        m_fleet.queue().run_until(end + caller_patience);
    }

    /// Sends small calls to one entry.
    void press_entry(std::size_t entry, rate calls, duration length) {
        for (const time_point end = now() + length; now() < end;) {
            send(entry, 100);
            m_fleet.queue().run_until(now() + from_seconds(1 / calls.per_second));
        }
        m_fleet.queue().run_until(now() + caller_patience);
    }

    /// @return share of the calls of the entries of a data centre that got a 200.
    [[nodiscard]] double served(const std::string& data_centre) const {
        std::size_t all = 0;
        std::size_t good = 0;
        for (const auto& it : m_fleet.records().calls) {
            if (data_centre_of(it.request.entry) == data_centre) {
                ++all;
                good += !it.answers.empty() && it.answers.front().status == 200 ? 1 : 0;
            }
        }
        return static_cast<double>(good) / static_cast<double>(std::max<std::size_t>(all, 1));
    }

    /// @return runs at the servers of dc1 for calls of dc0.
    [[nodiscard]] std::size_t spilled() const {
        std::size_t result = 0;
        for (const auto& it : m_fleet.records().executions) {
            const auto call = std::ranges::find(m_fleet.records().calls, it.body,
                                                [](const call_record& c) { return c.request.body; });
            result += data_centre_of(it.target) == "dc1" && data_centre_of(call->request.entry) == "dc0";
        }
        return result;
    }

    [[nodiscard]] fleet& nodes() { return m_fleet; }

  private:
    static fleet_settings make_settings(duration cost_per_kilobyte) {
        auto settings = single_service_settings(7, service_time);
        auto sheet = std::make_shared<plan>(*settings.initial_plan);
        for (auto& it : sheet->services[0].targets) {
            it.data_centre = data_centre_id{it.id.value() < "t3" ? "dc0" : "dc1"};
        }
        settings.initial_plan = sheet;
        settings.network.between_data_centres = std::chrono::milliseconds{5};
        settings.options.entry.slow_start = false;
        settings.options.entry.locality = {cost_per_kilobyte, std::chrono::milliseconds{6}};
        return settings;
    }

    void send(std::size_t entry, std::size_t body_size) {
        call_request request;
        request.entry = m_fleet.targets().at(entry);
        request.service = single_service;
        request.body = "quiet-" + std::to_string(m_calls++) + '-' + std::string(body_size, 'x');
        request.deadline = caller_patience;
        request.hidden_from_transcript = true;
        m_fleet.send_call(std::move(request));
    }

    [[nodiscard]] std::string data_centre_of(const target_id& target) const {
        return m_fleet.current_plan()->find_target(target)->data_centre.value();
    }

    time_point now() { return m_fleet.queue().now(); }

    fleet m_fleet;
    std::size_t m_calls = 0;
};

} // namespace

// Load: a data centre with a fifth of the servers gets most of the calls. Guards against callers that are
// refused although a neighbour has room.
TEST_CASE("a data centre with too few servers uses its neighbour for small exchanges", "[locality]") {
    uneven_fleet it;
    it.press(excess_load, easy_load, 100, std::chrono::seconds{10});
    // The neighbour has room for 200 runs a second beside its own calls; at least a quarter has to be used.
    CHECK(it.spilled() > 500);
    CHECK(it.served("dc0") > 0.6);
    CHECK(it.served("dc1") > 0.98);
}

// Load: both data centres get more than they can serve. Guards against a neighbour whose own callers lose
// their slots to the excess of the other data centre.
TEST_CASE("the callers of a full neighbour come first", "[locality]") {
    uneven_fleet alone(prohibitive_cost);
    alone.press(rate{1}, rate{300}, 100, std::chrono::seconds{10});
    uneven_fleet beside;
    beside.press(excess_load, rate{300}, 100, std::chrono::seconds{10});
    CHECK(beside.served("dc1") > alone.served("dc1") - 0.03);
}

// Load: large exchanges at a data centre with too few servers. Guards against bytes that cost more than the
// answer is worth.
TEST_CASE("large exchanges stay in a crowded data centre", "[locality]") {
    uneven_fleet it;
    it.press(rate{20}, rate{20}, 30'000, std::chrono::seconds{3});
    const std::size_t before = it.spilled();
    it.press(excess_load, easy_load, 30'000, std::chrono::seconds{5});
    CHECK(it.spilled() == before);
}

// Failure: all servers of the data centre end. Guards against a price that leaves callers without a
// server.
TEST_CASE("after the loss of all own servers all calls leave", "[locality]") {
    uneven_fleet it;
    it.nodes().server(it.nodes().targets().at(0)).set_down(true);
    it.nodes().kill(it.nodes().targets().at(1));
    it.nodes().kill(it.nodes().targets().at(2));
    it.press_entry(0, rate{20}, std::chrono::seconds{5});
    CHECK(it.served("dc0") > 0.9);
}

} // namespace cornelpier::testing
