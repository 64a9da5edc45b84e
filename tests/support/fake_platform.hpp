#pragma once

#include "cornelpier/node/control_events.hpp"

#include "tests/support/event_queue.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cornelpier::testing {

/// Simulates the configuration service and the VM list.
class fake_platform {
  public:
    using result_handler = std::function<void(const control_event&)>;

    explicit fake_platform(event_queue& queue) : m_queue(queue) {}

    /// Sets the plan sheet to serve. An older version simulates a service that returns stale data.
    void publish(std::uint64_t version, std::string sheet);

    /// Makes reads succeed or fail.
    void set_available(bool value) { m_available = value; }

    void set_vm_state(const vm_id& vm, vm_state state) { m_vms[vm] = state; }

    /// @return the number of reads of the plan and of the VM list.
    [[nodiscard]] std::size_t read_count() const { return m_read_count; }

    void read_plan(std::optional<std::uint64_t> newer_than, const result_handler& done);
    void read_vm_list(const result_handler& done);

  private:
    event_queue& m_queue;
    std::uint64_t m_version = 0;
    std::string m_sheet;
    std::map<vm_id, vm_state> m_vms;
    std::size_t m_read_count = 0;
    bool m_available = true;

    void poll(std::optional<std::uint64_t> newer_than, time_point deadline, const result_handler& done);
};

} // namespace cornelpier::testing
