#pragma once

#include "tests/support/fleet.hpp"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cornelpier::testing {

/// Nodes and servers of one service in virtual time. Some requests end the process that runs them. Callers
/// send requests to all entries in turn and repeat a lookup once, at the next entry, if it fails.
class crash_fleet {
  public:
    /// Rate of requests that the servers of four targets bear, also while one is down.
    static constexpr rate normal_load{80};

    /// Time between the end of a server and its return.
    static constexpr duration outage = std::chrono::seconds{3};

    /// Time after the third end by a request from which its runs are counted, and the runs allowed then.
    static constexpr duration reaction_time = std::chrono::seconds{3};
    static constexpr std::size_t allowed_late_runs = 3;

    explicit crash_fleet(std::size_t targets);

    [[nodiscard]] fleet& nodes() { return m_fleet; }
    [[nodiscard]] target_id target(std::size_t n) const { return m_fleet.targets().at(n); }
    [[nodiscard]] time_point now() { return m_fleet.queue().now(); }

    /// Makes requests with these bodies end the servers.
    void set_deadly(const std::set<std::string>& bodies);

    /// Sends requests of distinct bodies at a constant rate and runs the fleet meanwhile.
    /// @param deadly sent as well, one after the other, every `deadly_interval`.
    void press(duration length, const std::vector<std::string>& deadly = {},
               const std::vector<std::string>& methods = {"GET"});

    /// Sends one request to the next entry.
    /// @param key Idempotency-Key, if any.
    void send(const std::string& method, const std::string& body, const std::optional<std::string>& key = {});

    /// Takes a server down for `outage`; no request is the cause.
    void crash(std::size_t target);

    /// @return ends of servers by requests.
    [[nodiscard]] std::size_t crashes();

    /// @return runs of a request.
    [[nodiscard]] std::vector<execution> runs_of(const std::string& body) const;

    /// @return runs of a request later than `reaction_time` after its third run.
    [[nodiscard]] std::size_t late_runs(const std::string& body) const;

    /// @return share of the requests with other bodies sent in a period that were served, repeats included.
    [[nodiscard]] double served_share(time_point from, time_point until) const;

    /// @return answers to requests with this body, in order.
    [[nodiscard]] std::vector<call_answer> answers_to(const std::string& body) const;

  private:
    static constexpr duration deadly_interval = std::chrono::milliseconds{700};

    void repeat_failed();

    fleet m_fleet;
    std::set<std::string> m_deadly;
    std::set<std::size_t> m_repeated; ///< Calls that have been repeated.
    std::set<std::size_t> m_repeats;  ///< Calls that are repeats.
    std::size_t m_calls = 0;
    std::size_t m_deadly_sent = 0;
};

} // namespace cornelpier::testing
