#pragma once

#include "cornelpier/node/traffic_events.hpp"
#include "cornelpier/owner/owner_state.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace cornelpier {

/// Kinds of responses in which a server gives advice.
enum class advice_source : std::uint8_t { run, report };

/// Tracks what the server asks of its callers, and applies its rate limit.
///
/// A response without advice withdraws earlier advice. A report does so only if the reports of this server
/// have carried advice before: some servers give it only in responses to requests.
class advice_monitor {
  public:
    /// @param state must outlive the object.
    explicit advice_monitor(owner_state& state) : m_state(state), m_logged_at(state.started_at) {}

    /// Processes the advice of a response.
    /// @return whether the rate limit changed.
    bool on_advice(const server_advice& advice, advice_source source);

    /// Processes the name of the server process that answered. A new process has given no advice yet.
    void on_instance(const std::string& instance);

    /// Applies the rate limit that an entry remembers, until the server's first response to this process.
    void on_remembered_limit(const std::optional<rate>& limit);

  private:
    void forget();
    /// @return whether an entry got this rate because the server was cold.
    [[nodiscard]] bool is_warm_up_rate(rate limit) const;
    void log_rate_limit(const std::optional<rate>& before, const std::string& source);

    owner_state& m_state;
    bool m_reports_advise = false; ///< A report of this server process carried advice.
    /// Server process named last; empty: none. Kept when a misdirected run clears
    /// `owner_state::server_instance`.
    std::string m_instance;
    time_point m_logged_at;
    server_request_counts m_logged_counts;
};

} // namespace cornelpier
