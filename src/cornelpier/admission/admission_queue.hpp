#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/base/units.hpp"
#include "cornelpier/plan/plan.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace cornelpier {

/// Bounded priority queue of runs, ordered by request class, then by the latest start that meets the
/// objective, then by arrival. Under overload, runs that can still meet their objective start before runs
/// that are already late; late runs get the remaining capacity.
class admission_queue {
  public:
    /// Latest start of runs without an objective.
    static constexpr time_point no_objective = time_point::max();

    /// Result of offering a run.
    struct offer_result {
        bool accepted = false;
        std::optional<run_id> shed; ///< Run of a lower class that was removed to make room.
    };

    /// Changes the capacity. Runs queued beyond a reduced capacity stay.
    void set_capacity(std::size_t capacity) { m_capacity = capacity; }

    /// @return whether a run of the class would be accepted.
    [[nodiscard]] bool accepts(request_class priority) const;

    /// Queues a run. If the queue is full, the last run of the lowest class is shed, provided that its class
    /// is lower than that of the new run; otherwise the new run is rejected.
    /// @param latest_start latest start that meets the objective.
    /// @param late_after time after which runs that are on time go first; usually equal to `latest_start`.
    offer_result offer(run_id id, request_class priority, time_point latest_start = no_objective,
                       time_point late_after = no_objective);

    /// @return the first run that is on time if it starts now, otherwise the first run; nothing if the queue
    /// is empty.
    [[nodiscard]] std::optional<run_id> next(time_point now) const;

    /// Removes a run from the queue.
    /// @return false if it was not queued.
    bool remove(run_id id);

    /// @return the queued runs in the order in which they start if all are on time.
    [[nodiscard]] std::vector<run_id> in_order() const;

    /// @return number of queued runs that start before a new run of the class.
    [[nodiscard]] std::size_t ahead_of(request_class priority, time_point latest_start = no_objective) const;

    [[nodiscard]] std::size_t size() const { return m_order.size(); }
    [[nodiscard]] bool empty() const { return m_order.empty(); }

  private:
    using position = std::tuple<request_class, time_point, std::uint64_t>;

    struct queued_run {
        run_id id;
        time_point late_after;
    };

    std::size_t m_capacity = 0;
    std::uint64_t m_arrivals = 0;
    std::map<position, queued_run> m_order;
    std::unordered_map<run_id, position> m_positions;
};

} // namespace cornelpier
