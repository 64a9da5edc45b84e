#pragma once

#include "cornelpier/node/traffic_events.hpp"
#include "cornelpier/owner/owner_state.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace cornelpier {

/// Kinds of responses in which a server gives advice.
enum class advice_source : std::uint8_t { run, report };

/// Logs what the server asks of its callers, and how much it got meanwhile.
class advice_monitor {
  public:
    /// @param state must outlive the object.
    explicit advice_monitor(owner_state& state) : m_state(state), m_logged_at(state.started_at) {}

    /// Records the advice of a response.
    void on_advice(const server_advice& advice, advice_source source);

    /// @return rate limit of the last response; nothing if it named none.
    [[nodiscard]] std::optional<rate> rate_limit() const { return m_rate_limit; }

  private:
    void log_rate_limit(const std::optional<rate>& before, const std::optional<rate>& after,
                        std::string_view source);

    owner_state& m_state;
    std::array<server_advice, 2> m_last; ///< By source.
    std::optional<rate> m_rate_limit;
    time_point m_logged_at;
    server_request_counts m_logged_counts;
};

} // namespace cornelpier
