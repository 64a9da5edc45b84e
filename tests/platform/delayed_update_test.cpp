#include "daemon/net/clock.hpp"
#include "platform/known_state.hpp"
#include "platform/watch_timing.hpp"
#include "tests/platform/support/source_documents.hpp"
#include "tests/platform/support/source_fleet.hpp"
#include "tests/platform/support/source_members.hpp"
#include "tests/process/support/becomes_true.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <thread>

namespace cornelpier::platform {

namespace {

using namespace std::chrono_literals;
using test::becomes_true;
using test::propagation_limit;
using test::source_entry;
using test::source_entry_key;
using test::source_fleet;

/// Limit for a node to list the store.
constexpr auto start_time = 1s;

/// Between two updates of the reader.
constexpr auto update_interval = 200ms;

/// For how long the delayed updates arrive after the change.
constexpr auto longest_delay = 1200ms;

/// Longer than the time between two reports of nodes that the store serves.
constexpr auto outage_time = 3s;

/// Time for a call to the store and for publishing its response.
constexpr auto read_time = 300ms;

/// Where an update loses time.
enum class delay_place : std::uint8_t { sender, transit };

/// A reader whose updates the test makes up, and a node that depends on them.
class delayed_reader_fixture {
  public:
    delayed_reader_fixture() {
        const auto members =
            test::find_members(3, [](const auto& it) { return it.reader == it.nodes.front(); });
        m_reader_address = members.reader;
        m_other_address = members.nodes.at(1);
        m_node_address = members.nodes.back();
        for (const auto& it : members.nodes) {
            m_fleet.put(source_entry_key(it), source_entry(it, "ready"));
        }
        m_reader = &m_fleet.add_peer(m_reader_address);
        m_node = &m_fleet.start_node(m_node_address);
        REQUIRE(becomes_true(start_time, [&] { return m_node->plan_version() == 1; }));
        // The node reads in place of the silent reader, and tells it so.
        REQUIRE(becomes_true(2 * propagation_limit, [&] { return !m_reader->received().empty(); }));
        m_state = m_reader->received().back();
    }

    /// Sends the state that the node has, as of a time.
    void confirm(time_point read_at, delay_place place = delay_place::transit) {
        const time_point now = boot_now();
        if (place == delay_place::transit) {
            send(read_at, duration::zero());
        } else {
            send(now, now - read_at);
        }
    }

    /// Sends the state that the node has.
    void send(time_point sent_at, duration age) {
        source_update update{target_id{m_reader_address}, m_state.position, m_state.digest, {}};
        update.epoch = m_state.epoch;
        update.evidence = update_evidence::available;
        update.process = incarnation{2};
        update.sent_at = sent_at;
        update.age = age;
        m_fleet.send(*m_reader, m_node_address, update);
    }

    /// Tells the node of a later state without sending it the changes.
    void announce_later_state() {
        source_update update{target_id{m_reader_address}, m_state.position + 1, m_state.digest + 1, {}};
        update.epoch = m_state.epoch;
        update.process = incarnation{2};
        update.sent_at = boot_now();
        m_fleet.send(*m_reader, m_node_address, update);
    }

    /// Sends updates without delay, so that the node knows how fast they can arrive.
    void confirm_in_time() {
        for (int n = 0; n < 5; ++n) {
            confirm(boot_now());
            std::this_thread::sleep_for(update_interval);
        }
    }

    /// Lets the store refuse the node.
    void refuse(standins::store_refusal refusal) { m_fleet.refuse(m_node_address, refusal); }

    /// Deletes the entry of a server beside which no node runs.
    void remove_other() { m_fleet.remove(source_entry_key(m_other_address)); }

    [[nodiscard]] vm_state state_of_other() const { return m_node->state_of(m_other_address); }

    void change_plan() { m_fleet.put("op/config", test::source_manifest(2)); }

    [[nodiscard]] const test::source_node& node() const { return *m_node; }

    /// @return the number of calls to the store so far.
    std::uint64_t store_calls() { return m_fleet.store_calls(); }

  private:
    source_fleet m_fleet;
    std::string m_reader_address;
    std::string m_node_address;
    std::string m_other_address;
    test::update_peer* m_reader = nullptr;
    test::source_node* m_node = nullptr;
    source_update m_state;
};

} // namespace

TEST_CASE_METHOD(delayed_reader_fixture, "an update that was delayed does not put off the read of a node",
                 "[platform][delay][field-reports]") {
    const auto place = GENERATE(delay_place::sender, delay_place::transit);
    confirm_in_time();
    const time_point last_read_at = boot_now();
    const auto end = std::chrono::steady_clock::now() + propagation_limit;
    change_plan();
    while (boot_now() - last_read_at < longest_delay) {
        confirm(last_read_at, place);
        std::this_thread::sleep_for(update_interval);
    }
    CHECK(becomes_true(
        std::chrono::duration_cast<std::chrono::milliseconds>(end - std::chrono::steady_clock::now()),
        [&] { return node().plan_version() == 2; }));
}

// Guards against servers that lapse from the store in an outage and get no requests after it.
TEST_CASE_METHOD(delayed_reader_fixture, "a report that was delayed does not hide an outage of the store",
                 "[platform][delay][field-reports]") {
    const bool knows_age = GENERATE(true, false);
    confirm_in_time();
    const time_point last_read_at = boot_now();
    confirm(last_read_at);
    refuse(standins::store_refusal::unavailable);
    std::this_thread::sleep_for(outage_time);
    if (knows_age) {
        confirm(last_read_at);
    } else {
        send(boot_now(), known_state::unknown_age);
    }
    remove_other();
    change_plan();
    refuse(standins::store_refusal::none);

    REQUIRE(becomes_true(propagation_limit, [&] { return node().plan_version() == 2; }));
    CHECK(state_of_other() == vm_state::live);
}

TEST_CASE_METHOD(delayed_reader_fixture, "a node that is told of changes that do not arrive reads them",
                 "[platform][delay][field-reports]") {
    confirm_in_time();
    confirm(boot_now());
    change_plan();
    announce_later_state();
    const auto wait = watch_timing_for(propagation_limit).catch_up_wait;
    CHECK(becomes_true(std::chrono::duration_cast<std::chrono::milliseconds>(wait) + read_time,
                       [&] { return node().plan_version() == 2; }));
}

TEST_CASE_METHOD(delayed_reader_fixture, "a node that gets updates in time does not call the store",
                 "[platform][delay][field-reports]") {
    confirm(boot_now());
    std::this_thread::sleep_for(update_interval);
    const auto calls = store_calls();
    const time_point end = boot_now() + 2 * propagation_limit;
    while (boot_now() < end) {
        confirm(boot_now());
        std::this_thread::sleep_for(update_interval);
    }
    CHECK(store_calls() == calls);
}

} // namespace cornelpier::platform
