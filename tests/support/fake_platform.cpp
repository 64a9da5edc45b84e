#include "tests/support/fake_platform.hpp"

#include <utility>

namespace cornelpier::testing {

namespace {

constexpr duration answer_delay{std::chrono::milliseconds{3}};
constexpr duration watch_period{std::chrono::milliseconds{50}};
constexpr duration longest_watch{std::chrono::seconds{30}};

} // namespace

void fake_platform::publish(std::uint64_t version, std::string sheet) {
    m_version = version;
    m_sheet = std::move(sheet);
}

void fake_platform::read_plan(std::optional<std::uint64_t> newer_than, const on_result& done) {
    ++m_reads;
    m_queue.call_after(answer_delay, [this, newer_than, end = m_queue.now() + longest_watch, done] {
        poll(newer_than, end, done);
    });
}

void fake_platform::poll(std::optional<std::uint64_t> newer_than, time_point end, const on_result& done) {
    if (!m_up || m_sheet.empty()) {
        done(plan_read_failed{});
        return;
    }
    if (!newer_than || *newer_than != m_version) {
        done(plan_read{m_sheet});
        return;
    }
    if (m_queue.now() >= end) {
        done(plan_unchanged{});
        return;
    }
    m_queue.call_after(watch_period, [this, newer_than, end, done] { poll(newer_than, end, done); });
}

void fake_platform::read_vm_list(const on_result& done) {
    ++m_reads;
    m_queue.call_after(answer_delay, [this, done] {
        if (!m_up) {
            done(vm_list_read_failed{});
            return;
        }
        done(vm_list_read{{m_vms.begin(), m_vms.end()}});
    });
}

} // namespace cornelpier::testing
