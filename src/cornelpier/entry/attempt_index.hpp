#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/message/traffic_messages.hpp"

#include <set>
#include <unordered_map>
#include <vector>

namespace cornelpier {

/// Index of unsettled attempts by target.
class attempt_index {
  public:
    /// Adds an attempt that waits for a link or a permit.
    void add_waiting(const target_id& target, const attempt_id& attempt);

    /// Moves an attempt to those whose reply is outstanding.
    void mark_sent(const target_id& target, const attempt_id& attempt);

    void remove(const target_id& target, const attempt_id& attempt);

    /// @return unsent attempts of the target in ascending order.
    [[nodiscard]] std::vector<attempt_id> waiting(const target_id& target) const;

    /// @return attempts of the target whose reply is outstanding, in ascending order.
    [[nodiscard]] std::vector<attempt_id> sent(const target_id& target) const;

    [[nodiscard]] bool has_waiting(const target_id& target) const;
    [[nodiscard]] bool has_sent(const target_id& target) const;

  private:
    struct target_attempts {
        std::set<attempt_id> waiting;
        std::set<attempt_id> sent;
    };

    std::unordered_map<target_id, target_attempts> m_targets;
};

} // namespace cornelpier
