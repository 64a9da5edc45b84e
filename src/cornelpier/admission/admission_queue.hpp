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

/// Answers a backlog of runs that cannot all be in time.
/// @param slack time until the latest start with which the objective is met.
/// @param work expected time at the server, which varies between runs.
/// @param backlog time after which the run would start if all others went first.
/// @return by how much the chance to be in time is higher if the run starts now.
double gain_by_starting(duration slack, duration work, duration backlog);

/// Bounded queue of runs, ordered by request class, then by the latest start with which the objective is met,
/// then by arrival. Answers overload:
/// - runs that still meet their objective go before those that are late anyway, which are served with what is
///   left;
/// - when more runs of a class wait than can be in time, the order of their latest starts would begin each one
///   with nothing to spare, and half of them would be late by the variation of the work. Then those go first
///   that gain most by not waiting for the others, see `gain_by_starting`.
class admission_queue {
  public:
    /// Start time of runs that have no objective.
    static constexpr time_point no_limit = time_point::max();

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
    /// @param work expected time at the server; zero if unknown.
    offer_result offer(run_id id, request_class priority, time_point latest_start = no_limit,
                       time_point late_after = no_limit, duration work = {});

    /// @param per_start time between two starts of runs as slots become free; zero if there is no backlog.
    /// @return the next run: of the first class that has runs in time, the one that gains most by starting
    /// now; without such a class the first run.
    [[nodiscard]] std::optional<run_id> next(time_point now, duration per_start = {}) const;

    /// Takes a run out of the queue.
    /// @return false if it was not queued.
    bool remove(run_id id);

    /// @return queued runs that a new run of the class would wait for, by their latest starts.
    [[nodiscard]] std::size_t ahead_of(request_class priority, time_point latest_start = no_limit) const;

    /// @param work of the new run; its latest start has not passed.
    /// @return queued runs that `next` would choose before a new run.
    [[nodiscard]] std::size_t ahead_of(request_class priority, time_point latest_start, duration work,
                                       time_point now, duration per_start) const;

    /// @return queued runs that still meet their objective if they start now.
    [[nodiscard]] std::size_t in_time(time_point now) const;

    [[nodiscard]] std::size_t size() const { return m_order.size(); }
    [[nodiscard]] bool empty() const { return m_order.empty(); }

  private:
    using position = std::tuple<request_class, time_point, std::uint64_t>;

    struct entry {
        run_id id;
        time_point late_after;
        duration work;
    };

    using places = std::map<position, entry>;

    /// @return count of runs of the class of `first` that are in time, from there on.
    static std::size_t in_time_of_class(places::const_iterator first, places::const_iterator last,
                                        time_point now);

    std::size_t m_capacity = 0;
    std::uint64_t m_arrivals = 0;
    places m_order;
    std::unordered_map<run_id, position> m_positions;
};

} // namespace cornelpier
