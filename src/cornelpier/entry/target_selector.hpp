#pragma once

#include "cornelpier/entry/call_state.hpp"
#include "cornelpier/entry/entry_context.hpp"
#include "cornelpier/entry/leaving_server_table.hpp"
#include "cornelpier/entry/link_set.hpp"
#include "cornelpier/entry/service_state.hpp"
#include "cornelpier/entry/spill_controller.hpp"
#include "cornelpier/health/health_table.hpp"
#include "cornelpier/routing/load_estimate.hpp"
#include "cornelpier/routing/reading_table.hpp"
#include "cornelpier/routing/round_trip_table.hpp"

#include <optional>
#include <string>
#include <vector>

namespace cornelpier {

/// Target chosen for an attempt.
struct selection {
    target_id target;
    data_centre_id data_centre;
    std::string address;                ///< Of its node.
    std::optional<duration> wait_limit; ///< Above this wait the second-best target is better.
    bool trial = false;                 ///< The attempt is a trial request to an ejected target.
    bool confined = false;              ///< The request is suspected; all entries choose this target.
    bool spilled = false; ///< In a far data centre although the entry's own one has usable targets.
};

/// Components that the selector uses; not owned.
struct selector_dependencies {
    reading_table& readings;
    leaving_server_table& leaving_servers;
    round_trip_table& round_trips;
    health_table& health;
    link_set& links;
    spill_controller& spill;
};

/// Chooses the target of each attempt. Opens links to targets that cannot be chosen for lack of one.
class target_selector {
  public:
    target_selector(entry_context& context, selector_dependencies deps);

    /// Chooses from the subset of the service.
    /// @param hedge choose only among healthy targets that the call has not been sent to.
    /// @return nothing if no target is usable.
    std::optional<selection> select(const call_state& call, service_state& service, bool hedge);

    /// Chooses for a suspected request. All entries choose the same target as far as they know the same
    /// state, so that the request ends one more server at most.
    /// @return nothing if no target is usable.
    std::optional<selection> select_confined(const call_state& call, const service_plan& service);

    /// @return the home target of an idempotency key, the only one that may run its requests, found by
    /// rendezvous hashing. Nothing if the service has no targets outside evacuated data centres.
    [[nodiscard]] std::optional<selection> select_home(const service_plan& service,
                                                       const std::string& key) const;

  private:
    /// Preference order of targets; a tier is used only if all tiers before it are empty.
    enum class selection_tier : std::uint8_t { regular, cold, tried, distant, unhealthy, leaving, excluded };

    struct subset_member {
        std::size_t index = 0; ///< In the subset.
        selection_tier tier = selection_tier::regular;
        bool wait_limit_only = false; ///< Not to be chosen; counts as an alternative for the wait limit.
        bool spilled = false;         ///< In a far data centre.
    };

    struct scored_candidate {
        std::size_t index = 0; ///< In the subset.
        candidate scored;
        duration fixed_cost{}; ///< Part of the estimate without the wait.
        bool wait_limit_only = false;
        bool spilled = false;
    };

    /// @return whether the call may have run at the target or would be refused again.
    [[nodiscard]] static bool is_tried(const call_state& call, const target_id& target);
    std::optional<selection> select_trial(const call_state& call, const service_state& service);
    std::vector<scored_candidate> score(const call_state& call, service_state& service,
                                        const std::vector<subset_member>& members);
    /// @param slack the route's objective minus the expected work.
    /// @return cost that is added to the estimate of a target in another data centre, else zero.
    [[nodiscard]] duration cross_data_centre_cost(duration slack, const data_centre_id& data_centre) const;
    std::vector<subset_member> usable_members(const call_state& call, const service_state& service,
                                              bool hedge);
    selection_tier tier_of(const call_state& call, const target_id& target, double max_share);
    [[nodiscard]] bool is_leaving(const target_id& target) const;
    [[nodiscard]] bool is_rate_limited(const target_id& target) const;
    bool skips_in_slow_start(const target_id& target, double max_share);
    double max_slow_start_share(const service_state& service);
    double slow_start_share_of(const target_id& target);
    static std::optional<duration> wait_limit(const std::vector<scored_candidate>& candidates,
                                              const scored_candidate& chosen);
    static selection make_selection(const service_state& service, std::size_t index);

    entry_context& m_context;
    reading_table& m_readings;
    leaving_server_table& m_leaving_servers;
    round_trip_table& m_round_trips;
    health_table& m_health;
    link_set& m_links;
    spill_controller& m_spill;
};

} // namespace cornelpier
