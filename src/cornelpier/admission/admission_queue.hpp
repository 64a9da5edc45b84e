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

namespace cornelpier {

/// Bounded queue of runs, ordered by request class, then by the latest start with which the objective is met,
/// then by arrival. Answers overload: runs that still meet their objective go before those that are late
/// anyway, which are served with what is left.
class admission_queue {
  public:
    /// Start time of runs that have no objective.
    static constexpr time_point no_objective = time_point::max();

    /// What happened to a run that was offered.
    struct offer_result {
        bool accepted = false;
        std::optional<run_id> shed; ///< A run of a lower class that made room and left the queue.
    };

    /// Changes the bound. Runs beyond a lower bound stay.
    void set_capacity(std::size_t capacity) { m_capacity = capacity; }

    /// @return whether a run of the class would be accepted.
    [[nodiscard]] bool accepts(request_class priority) const;

    /// Queues a run. When the queue is full, the latest run of the lowest class is shed if its class is
    /// lower than that of the new run; else the new run is not accepted.
    /// @param latest_start start with which the objective is met.
    /// @param late_after time after which the run goes behind those that are in time; usually the same.
    offer_result offer(run_id id, request_class priority, time_point latest_start = no_objective,
                       time_point late_after = no_objective);

    /// @return the next run: the first one that meets its objective if it starts now, else the first one.
    [[nodiscard]] std::optional<run_id> next(time_point now) const;

    /// Takes a run out of the queue.
    /// @return false if it was not queued.
    bool remove(run_id id);

    /// @return queued runs that a new run of the class would wait for.
    [[nodiscard]] std::size_t ahead_of(request_class priority, time_point latest_start = no_objective) const;

    [[nodiscard]] std::size_t size() const { return m_order.size(); }
    [[nodiscard]] bool empty() const { return m_order.empty(); }

  private:
    using position = std::tuple<request_class, time_point, std::uint64_t>;

    struct entry {
        run_id id;
        time_point late_after;
    };

    std::size_t m_capacity = 0;
    std::uint64_t m_arrivals = 0;
    std::map<position, entry> m_order;
    std::unordered_map<run_id, position> m_positions;
};

} // namespace cornelpier
