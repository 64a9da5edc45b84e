#pragma once

#include "cornelpier/base/random_source.hpp"
#include "cornelpier/entry/entry_options.hpp"
#include "cornelpier/node/node_identity.hpp"
#include "cornelpier/node/traffic_actions.hpp"
#include "cornelpier/node/traffic_events.hpp"
#include "cornelpier/timer/timer_service.hpp"

#include <memory>

namespace cornelpier {

/// Owns the calls received by this node, from arrival to the final answer, and the links that this node
/// opened to owners.
class entry_manager {
  public:
    /// @param timers must outlive the manager; its `now()` is the current time.
    /// @param random seeded generator for this manager only.
    entry_manager(const node_identity& identity, timer_service& timers, random_source random,
                  entry_options options = {});
    ~entry_manager();

    entry_manager(const entry_manager&) = delete;
    entry_manager& operator=(const entry_manager&) = delete;
    entry_manager(entry_manager&&) = delete;
    entry_manager& operator=(entry_manager&&) = delete;

    /// Sets the list that events and timers append actions to. Must be called before time advances.
    void set_output(traffic_actions& actions);

    void on_call(const call_arrived& event);
    void on_fate_requested(const call_fate_requested& event);
    void on_abandoned(const call_abandoned& event);
    void on_link_opened(link_id link);
    void on_link_progress(link_id link);
    void on_link_closed(link_id link);
    void on_message(link_id link, const traffic_message& message);
    void on_fleet(const shared_fleet_view& view);

    /// After a pause of the process: drops readings and permits, resets all links and queries the fate of
    /// outstanding attempts.
    void on_pause();

    /// Informs the owners of a service about requests that may have ended a server.
    void publish_suspects(const suspect_update& update);

    /// Answers all calls with their current outcome, because the process exits before they end.
    void finish_all_calls();

    /// While draining, answers to callers carry `Connection: close`.
    void set_draining(bool draining);

    /// @return number of calls and fate requests without a final answer.
    [[nodiscard]] std::size_t calls_in_progress() const;

    /// @return number of links that are open or opening.
    [[nodiscard]] std::size_t open_links() const;

  private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace cornelpier
