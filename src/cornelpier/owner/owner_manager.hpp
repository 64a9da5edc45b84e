#pragma once

#include "cornelpier/base/random_source.hpp"
#include "cornelpier/node/node_identity.hpp"
#include "cornelpier/node/traffic_actions.hpp"
#include "cornelpier/node/traffic_core.hpp"
#include "cornelpier/node/traffic_events.hpp"
#include "cornelpier/owner/owner_options.hpp"
#include "cornelpier/timer/timer_service.hpp"

#include <functional>
#include <memory>

namespace cornelpier {

/// Owner side of a node: admits, queues, dispatches and records the runs of its target, and drains it.
class owner_manager {
  public:
    /// @param identity who the node is.
    /// @param timers must outlive the manager; its `now()` is the current time.
    /// @param random generator that no other component uses.
    /// @param options overrides for parts of the owner's decisions.
    owner_manager(const node_identity& identity, timer_service& timers, random_source random,
                  const owner_options& options = {});
    ~owner_manager();

    owner_manager(const owner_manager&) = delete;
    owner_manager& operator=(const owner_manager&) = delete;
    owner_manager(owner_manager&&) = delete;
    owner_manager& operator=(owner_manager&&) = delete;

    /// @copydoc entry_manager::set_output
    void set_output(traffic_actions& actions);

    /// Sets the function that informs the other owners of the service.
    void set_suspect_publisher(std::function<void(const suspect_update&)> publisher);

    void on_link_closed(link_id link);
    void on_message(link_id link, const traffic_message& message);
    void on_server_answered(const server_answered& event);
    void on_server_failed(const server_failed& event);
    void on_server_report(const server_report& event);
    void on_server_report_failed();
    void on_server_checked(const server_checked& event);
    void on_fleet(const shared_fleet_view& view);
    void on_terminate();

    /// Refuses the queued runs whose deadline passed while the process was paused, before any of them starts.
    void on_pause();

    /// @return lifecycle state; new runs are accepted only while serving.
    [[nodiscard]] node_state state() const;

    /// @return true if no run is queued or at the server.
    [[nodiscard]] bool idle() const;

    /// Sets the fields of a snapshot that the owner knows.
    void fill_snapshot(traffic_snapshot& snapshot) const;

  private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace cornelpier
