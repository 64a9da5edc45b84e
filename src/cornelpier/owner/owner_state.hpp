#pragma once

#include "cornelpier/admission/admission_queue.hpp"
#include "cornelpier/admission/class_rate_meter.hpp"
#include "cornelpier/admission/contention_meter.hpp"
#include "cornelpier/admission/load_meter.hpp"
#include "cornelpier/admission/on_time_reserve.hpp"
#include "cornelpier/admission/route_work_table.hpp"
#include "cornelpier/admission/run_pacer.hpp"
#include "cornelpier/admission/slowness_meter.hpp"
#include "cornelpier/admission/warm_up_limiter.hpp"
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
#include "cornelpier/quarantine/suspect_table.hpp"
#include "cornelpier/timer/timer_service.hpp"

#include <optional>

namespace cornelpier {

/// Requests that the owner sent to its server since the start.
struct server_request_counts {
    std::uint64_t runs = 0;
    std::uint64_t reports = 0;
};

/// State shared by the components of the owner. Only the classes named in its comment change a member.
struct owner_state {
    owner_state(const node_identity& node, timer_service& timer, random_source generator);

    /// @return this target's service in the plan, or nullptr if the plan does not list this target.
    [[nodiscard]] const service_plan* service() const { return m_service; }

    /// @return concurrent requests that this target's server can process. `service()` must not be null.
    [[nodiscard]] std::uint32_t slots() const;

    /// @return whether this target's data centre is evacuated, so that the server gets no new work.
    [[nodiscard]] bool is_evacuated() const { return m_is_evacuated; }

    /// Sets the fleet view that came into force.
    void set_view(shared_fleet_view next);

    /// @return a reading with the next sequence number and a fresh permit.
    load_reading make_reading();

    /// @return time after which a caller should retry, with random jitter so that retries are spread out.
    duration jittered_retry_after();

    /// @return maximum number of concurrent runs at the server: the concurrency limit, or less if contention
    /// between runs would reduce throughput.
    [[nodiscard]] std::uint32_t effective_limit() const;

    /// @return average number of runs at the server over the last seconds.
    [[nodiscard]] double usual_concurrency() const;

    /// @param ahead number of queued runs that start first.
    /// @return expected time until a new run with a route gets a slot and the server's rate limit allows it.
    [[nodiscard]] duration expected_start_wait(std::size_t ahead) const;

    /// @return expected time until the server's rate limit allows a new run, given that more urgent runs that
    /// arrive meanwhile start first.
    [[nodiscard]] duration expected_pace_wait(request_class priority, std::size_t ahead) const;

    /// @return expected time until a request may start: suspects run one after the other.
    [[nodiscard]] duration expected_confinement_wait(suspicion level) const;

    /// @return whether a service time is much shorter than the server's mean. Such runs are mostly nested
    /// calls of longer runs at other servers, whose work is lost if the nested call fails.
    [[nodiscard]] bool is_short_service_time(duration expected) const;

    /// Counts the start of a run for the pace and for the proof that the server is warm.
    void record_start();

    /// Sends an answer with a current load reading. Logs and counts refusals.
    void send_answer(link_id link, run_response message);

    [[nodiscard]] time_point now() const { return timers.now(); }

    const node_identity& identity;
    timer_service& timers;
    random_source random;
    shared_fleet_view view; ///< Null before the first one; changed by `set_view`.
    owner_outbox outbox;
    permit_issuer permits;
    attempt_ledger ledger;        ///< run_admission, run_executor, fate_responder.
    key_ledger keys;              ///< run_admission, run_executor.
    key_placement placement;      ///< owner_manager.
    run_table runs;               ///< run_executor.
    admission_queue queue;        ///< owner_manager, run_executor.
    load_meter load;              ///< owner_manager, run_executor.
    route_work_table route_work;  ///< run_executor.
    contention_meter contention;  ///< run_executor.
    on_time_reserve reserve;      ///< run_executor.
    slowness_meter slowness;      ///< owner_manager, run_executor.
    class_rate_meter class_rates; ///< run_executor.
    suspect_table suspects;       ///< crash_monitor, run_admission.
    run_pacer pacer;              ///< owner_manager, advice_monitor, warm_up_monitor, run_executor.
    warm_up_limiter warm_up;      ///< warm_up_monitor, measurement_scheduler; `record_start`.
    node_state_machine lifecycle; ///< drain_controller.
    time_point started_at;        ///< Start of the process.
    std::optional<time_point> serving_since; ///< Unset unless serving with the server up; drain_controller.
    std::string server_instance; ///< Process last reported by the server; empty: unknown. run_executor.
    /// The server's advice is known: it gave some, gave none in a response to a run, or has just replaced
    /// another process. advice_monitor.
    bool advice_known = false;
    bool server_leaving = false; ///< The server said in its last response that it leaves. advice_monitor.
    std::uint64_t last_reading_sequence = 0;
    server_request_counts server_requests; ///< run_executor, measurement_scheduler.

  private:
    const service_plan* m_service = nullptr;
    bool m_is_evacuated = false;
};

} // namespace cornelpier
