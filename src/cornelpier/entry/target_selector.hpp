#pragma once

#include "cornelpier/entry/call_state.hpp"
#include "cornelpier/entry/entry_context.hpp"
#include "cornelpier/entry/link_set.hpp"
#include "cornelpier/entry/service_state.hpp"
#include "cornelpier/health/health_table.hpp"
#include "cornelpier/routing/load_estimate.hpp"
#include "cornelpier/routing/reading_table.hpp"
#include "cornelpier/routing/round_trip_table.hpp"

#include <optional>
#include <string>
#include <vector>

namespace cornelpier {

/// Target of an attempt.
struct selection {
    target_id target;
    data_centre_id data_centre;
    std::string address;                ///< Of its node.
    std::optional<duration> wait_limit; ///< A longer wait makes the second-best target the better one.
    bool trial = false;                 ///< The attempt is the trial request of the target.
};

/// Chooses targets. Owns nothing, but has links opened to targets that would be chosen with one.
class target_selector {
  public:
    target_selector(entry_context& context, reading_table& readings, round_trip_table& distances,
                    health_table& health, link_set& links);

    /// Chooses from the subset of the service.
    /// @param hedge take only a target in good order without an open attempt of the call.
    /// @return nothing if no target is left.
    std::optional<selection> select(const call_state& call, service_state& service, bool hedge);

    /// @return the home of a key: the only target its requests may go to. Nothing without targets.
    [[nodiscard]] static std::optional<selection> select_home(const service_plan& service,
                                                              const std::string& key);

  private:
    /// Targets are used in this order; a group counts only if all before it are empty.
    enum class selection_tier : std::uint8_t { regular, cold, tried, unhealthy, leaving, excluded };

    struct member {
        std::size_t index = 0; ///< In the subset.
        selection_tier tier = selection_tier::regular;
        bool wait_limit_only = false;
    };

    struct scored_candidate {
        std::size_t index = 0; ///< In the subset.
        candidate scored;
        duration fixed_cost{}; ///< Part of the estimate that does not depend on the wait.
        bool wait_limit_only = false;
    };

    std::optional<selection> select_trial(const call_state& call, const service_state& service);
    std::vector<scored_candidate> score(const call_state& call, service_state& service,
                                        const std::vector<member>& members);
    /// @param spare time that the objective leaves beside the work.
    /// @return what is added to the estimate of a target in another data centre.
    [[nodiscard]] duration cross_data_centre_cost(duration slack, const data_centre_id& data_centre) const;
    std::vector<member> usable_members(const call_state& call, const service_state& service, bool hedge);
    selection_tier tier_of(const call_state& call, const target_id& target, double max_share);
    [[nodiscard]] bool is_leaving(const target_id& target) const;
    bool skips_in_slow_start(const target_id& target, double max_share);
    double max_slow_start_share(const service_state& service);
    double slow_start_share_of(const target_id& target);
    static std::optional<duration> wait_limit(const std::vector<scored_candidate>& candidates,
                                              const scored_candidate& chosen);
    static selection make_selection(const service_state& service, std::size_t index);

    entry_context& m_context;
    reading_table& m_readings;
    round_trip_table& m_distances;
    health_table& m_health;
    link_set& m_links;
};

} // namespace cornelpier
