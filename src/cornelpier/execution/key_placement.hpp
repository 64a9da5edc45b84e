#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/base/units.hpp"
#include "cornelpier/plan/plan.hpp"

#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace cornelpier {

/// Places idempotency keys on the targets of a service by rendezvous hashing, and tracks for how long it
/// cannot be proved that a key is new: for the key memory after the process started, or after this target
/// became the home of the key.
class key_placement {
  public:
    /// @param self this node's target.
    /// @param started_at start of the process.
    key_placement(target_id self, time_point started_at)
        : m_self(std::move(self)), m_started_at(started_at) {}

    /// Applies the targets of this target's service from the plan that came into force.
    /// @param service nullptr if the plan does not list this target, which is then the home of no key.
    /// @param evacuated data centres whose targets are the home of no key; sorted.
    void update(const service_plan* service, time_point now,
                const std::vector<data_centre_id>& evacuated = {});

    /// @param key result of `scoped_key`.
    /// @return true if this target is the home of the key.
    [[nodiscard]] bool is_home(const std::string& key) const { return is_home_among(m_targets, key); }

    /// @return time until the absence of a record proves that the key is new.
    [[nodiscard]] duration unproved_time(const std::string& key, time_point now) const;

    /// @return the key together with its service, under which it is placed and recorded.
    static std::string scoped_key(const service_id& service, const std::string& key) {
        return service.value() + "\n" + key;
    }

  private:
    struct previous_targets {
        time_point replaced_at;
        service_id service;
        std::vector<target_id> targets;
    };

    [[nodiscard]] bool is_home_among(const std::vector<target_id>& targets, const std::string& key) const;
    [[nodiscard]] bool was_home(const previous_targets& previous, const std::string& key) const;
    void set_targets(service_id service, std::vector<target_id> targets, time_point now);
    void discard_previous_targets(time_point now);

    target_id m_self;
    time_point m_started_at;
    duration m_key_memory = service_plan{}.key_memory;
    bool m_has_plan = false; ///< A plan has come into force.
    service_id m_service;
    std::vector<target_id> m_targets;
    std::deque<previous_targets> m_previous_targets;
    time_point m_all_unproved_until; ///< Bound for previous targets that were discarded early.
};

} // namespace cornelpier
