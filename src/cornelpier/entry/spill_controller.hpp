#pragma once

#include "cornelpier/entry/call_state.hpp"
#include "cornelpier/entry/entry_context.hpp"
#include "cornelpier/routing/exchange_size_meter.hpp"
#include "cornelpier/routing/locality_policy.hpp"
#include "cornelpier/routing/round_trip_table.hpp"
#include "cornelpier/routing/spill_limiter.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace cornelpier {

/// Decides which calls may leave for a far data centre although the entry's own one has usable targets.
/// Without a price for bytes, no data centre is far.
class spill_controller {
  public:
    /// @param round_trips must outlive the object.
    spill_controller(entry_context& context, const round_trip_table& round_trips);

    /// @return whether bytes to the data centre have a price.
    [[nodiscard]] bool is_far(const data_centre_id& data_centre) const;

    /// @return whether this choice of a target may include far data centres.
    [[nodiscard]] bool admits(const call_state& call);

    /// @return whether a near target refused the call for its load. Far targets are no substitute then,
    /// unless the call is admitted.
    [[nodiscard]] bool was_refused_nearby(const call_state& call) const;

    /// @return delay that is worth as much as running the call in a far data centre.
    [[nodiscard]] duration cost(const call_state& call) const;

    /// Learns from the result of an attempt the size of the route's exchanges, and whether a far data centre
    /// has room.
    void on_settled(const call_state& call, const attempt_state& attempt, const attempt_result& result);

  private:
    struct service_record {
        spill_limiter limiter;
        std::uint64_t accepted = 0; ///< Since the last log event, like `refused`.
        std::uint64_t refused = 0;
        time_point logged_at{duration::min()};
    };

    /// @return expected size of the call's request and response together.
    [[nodiscard]] std::size_t expected_bytes(const call_state& call) const;
    void on_spilled(const call_state& call, const attempt_result& result);
    void log_share(const service_id& service, service_record& record);

    entry_context& m_context;
    const round_trip_table& m_round_trips;
    locality_policy m_policy;
    std::unordered_map<service_id, service_record> m_services;
    std::unordered_map<std::string, exchange_size_meter> m_sizes; ///< By route.
};

} // namespace cornelpier
