#pragma once

#include "cornelpier/admission/admission_queue.hpp"
#include "cornelpier/admission/contention_meter.hpp"
#include "cornelpier/admission/load_meter.hpp"
#include "cornelpier/admission/on_time_reserve.hpp"
#include "cornelpier/admission/route_work_table.hpp"
#include "cornelpier/admission/slowness_meter.hpp"
#include "cornelpier/base/random_source.hpp"
#include "cornelpier/drain/node_state_machine.hpp"
#include "cornelpier/execution/attempt_ledger.hpp"
#include "cornelpier/execution/key_ledger.hpp"
#include "cornelpier/execution/key_placement.hpp"
#include "cornelpier/execution/permit_issuer.hpp"
#include "cornelpier/fleet/fleet_view.hpp"
#include "cornelpier/node/node_identity.hpp"
#include "cornelpier/owner/owner_outbox.hpp"
#include "cornelpier/owner/run_table.hpp"
#include "cornelpier/timer/timer_service.hpp"

#include <optional>

namespace cornelpier {

/// What the parts of the owner share. Each part is changed by the class that the comment names.
struct owner_state {
    owner_state(const node_identity& node, timer_service& timer, random_source generator);

    /// @return the plan's entry for the own service, or nullptr if the plan does not list the own target.
    [[nodiscard]] const service_plan* service() const { return m_service; }

    /// @return requests that the own server works on at a time; `service` must not be null.
    [[nodiscard]] std::uint32_t slots() const;

    /// Takes a view that came into force.
    void set_view(shared_fleet_view next);

    /// @return a reading with the next sequence number and a fresh permit.
    load_reading make_reading();

    /// @return wait that a caller should keep before it returns, spread at random so that callers do not
    /// return together.
    duration jittered_retry_after();

    /// @return runs of routes that the server gets at a time.
    [[nodiscard]] std::uint32_t effective_limit() const;

    /// @param ahead queued runs that go first.
    /// @return time until a new run of a route gets a slot.
    [[nodiscard]] duration expected_slot_wait(std::size_t ahead) const;

    /// @return whether work is much shorter than most of the server's: such runs are mostly calls of servers
    /// that work on something longer, and all of that is lost with them.
    [[nodiscard]] bool is_short_service_time(duration expected) const;

    /// Sends an answer with a fresh reading, and counts it if it is a refusal.
    void send_answer(link_id link, run_response message);

    [[nodiscard]] time_point now() const { return timers.now(); }

    const node_identity& identity;
    timer_service& timers;
    random_source random;
    shared_fleet_view view; ///< Null before the first one; `set_view`.
    owner_outbox outbox;
    permit_issuer permits;
    attempt_ledger ledger;                   ///< run_executor, fate_responder.
    key_ledger keys;                         ///< run_executor.
    key_placement placement;                 ///< owner_manager.
    run_table runs;                          ///< run_executor.
    admission_queue queue;                   ///< run_executor.
    load_meter load;                         ///< run_executor.
    route_work_table work;                   ///< run_executor.
    contention_meter crowding;               ///< run_executor.
    on_time_reserve late_runs;               ///< run_executor.
    slowness_meter slowness;                 ///< owner_manager.
    node_state_machine lifecycle;            ///< drain_controller.
    time_point started_at;                   ///< Of the process.
    std::optional<time_point> serving_since; ///< Nothing while the server is down; drain_controller.
    std::string server_instance;             ///< As the server said last; empty: unknown. run_executor.
    std::uint64_t last_reading_sequence = 0;

  private:
    const service_plan* m_service = nullptr;
};

} // namespace cornelpier
