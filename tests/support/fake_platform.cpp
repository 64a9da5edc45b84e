#include "tests/support/fake_platform.hpp"

#include <utility>

namespace cornelpier::testing {

namespace {

constexpr duration response_delay{std::chrono::milliseconds{3}};
constexpr duration poll_interval{std::chrono::milliseconds{50}};
constexpr duration long_poll_timeout{std::chrono::seconds{30}};

} // namespace

void fake_platform::publish(std::uint64_t version, std::string sheet) {
    m_version = version;
    m_sheet = std::move(sheet);
}

void fake_platform::read_plan(std::optional<std::uint64_t> newer_than, const result_handler& done) {
    ++m_read_count;
    m_queue.call_after(response_delay, [this, newer_than, deadline = m_queue.now() + long_poll_timeout,
                                        done] { poll(newer_than, deadline, done); });
}

void fake_platform::poll(std::optional<std::uint64_t> newer_than, time_point deadline,
                         const result_handler& done) {
    if (!m_available || m_sheet.empty()) {
        done(plan_read_failed{});
        return;
    }
    if (!newer_than || *newer_than != m_version) {
        done(plan_read{m_sheet});
        return;
    }
    if (m_queue.now() >= deadline) {
        done(plan_unchanged{});
        return;
    }
    m_queue.call_after(poll_interval,
                       [this, newer_than, deadline, done] { poll(newer_than, deadline, done); });
}

void fake_platform::read_vm_list(const result_handler& done) {
    ++m_read_count;
    m_queue.call_after(response_delay, [this, done] {
        if (!m_available) {
            done(vm_list_read_failed{});
            return;
        }
        done(vm_list_read{{m_vms.begin(), m_vms.end()}});
    });
}

} // namespace cornelpier::testing
