#pragma once

#include "daemon/log/event_log.hpp"
#include "daemon/memory/byte_budget.hpp"

#include <cstdint>
#include <optional>

namespace cornelpier {

/// Detects when a budget begins to refuse and when it has room again. No I/O; called at regular intervals.
class budget_monitor {
  public:
    /// @param usage use of the budget now.
    /// @return the event to record, if the state changed since the last call.
    [[nodiscard]] std::optional<event_record> update(const byte_budget_usage& usage);

  private:
    std::uint64_t m_refusals = 0;
    bool m_exhausted = false;
};

} // namespace cornelpier
