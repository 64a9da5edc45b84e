#pragma once

#include "cornelpier/node/traffic_actions.hpp"
#include "cornelpier/timer/timer_service.hpp"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cornelpier {

/// Appends the owner's actions to the list that the shell carries out, and tracks the accepted links.
class owner_outbox {
  public:
    using event_fields = std::vector<std::pair<std::string, std::string>>;

    /// @param timers must outlive the outbox.
    /// @param service service label of the metrics.
    owner_outbox(const timer_service& timers, service_id service)
        : m_timers(timers), m_service(std::move(service)) {}

    void set_output(traffic_actions& actions) { m_output = &actions; }

    void add_link(link_id link) { m_links.try_emplace(link); }

    /// Sets the process at the other end of a link.
    void set_peer(link_id link, incarnation peer) { m_links[link] = peer; }

    /// @return true if the process is known to be at the other end of the link.
    [[nodiscard]] bool is_peer(link_id link, incarnation peer) const;

    void remove_link(link_id link) { m_links.erase(link); }
    [[nodiscard]] bool has_links() const { return !m_links.empty(); }

    void send(link_id link, traffic_message message);

    /// Sends a message on every accepted link.
    void broadcast(const traffic_message& message);

    void emit(traffic_action action);
    void log(event_number number, event_fields fields);

    /// Logs an event at most once per second and event number.
    void log_throttled(event_number number, event_fields fields);

    void increment(metric kind);

  private:
    const timer_service& m_timers;
    service_id m_service;
    traffic_actions* m_output = nullptr;
    std::map<link_id, std::optional<incarnation>> m_links; ///< Unset until the peer's `hello`.
    std::map<event_number, time_point> m_last_logged_at;
};

} // namespace cornelpier
