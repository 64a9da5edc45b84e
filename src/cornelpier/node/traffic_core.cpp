#include "cornelpier/node/traffic_core.hpp"

#include "cornelpier/base/random_source.hpp"
#include "cornelpier/entry/entry_manager.hpp"
#include "cornelpier/owner/owner_manager.hpp"
#include "cornelpier/timer/timer_service.hpp"

#include <unordered_set>
#include <utility>
#include <variant>

namespace cornelpier {

/// Routes each event to the entry or the owner of the node.
class traffic_core::implementation {
  public:
    implementation(node_identity identity, std::uint64_t seed, time_point start, traffic_options options)
        : m_identity(std::move(identity)), m_random(seed), m_timers(start),
          m_entry(m_identity, m_timers, m_random.split(), std::move(options.entry)),
          m_owner(m_identity, m_timers, m_random.split(), options.owner) {
        m_owner.set_suspect_publisher([this](const suspect_update& it) { m_entry.publish_suspects(it); });
    }

    void handle(const traffic_event& event, time_point now, traffic_actions& actions) {
        set_output(m_pending);
        m_timers.set_now(now);
        dispatch(event);
        process_pending(now, actions);
    }

    void advance(time_point now, traffic_actions& actions) {
        set_output(m_pending);
        process_pending(now, actions);
    }

    [[nodiscard]] std::optional<time_point> next_due() const { return m_timers.next_due(); }

    [[nodiscard]] node_state state() const { return m_owner.state(); }

    [[nodiscard]] traffic_snapshot snapshot() const {
        traffic_snapshot result;
        m_owner.fill_snapshot(result);
        result.state = m_owner.state();
        result.calls_in_progress = m_entry.calls_in_progress();
        result.open_links = m_entry.open_links();
        return result;
    }

  private:
    void set_output(traffic_actions& actions) {
        m_entry.set_output(actions);
        m_owner.set_output(actions);
    }

    void dispatch(const traffic_event& event) {
        std::visit([this](const auto& it) { on(it); }, event);
    }

    /// Runs due timers and delivers messages that the node sends to itself until none is left.
    void process_pending(time_point now, traffic_actions& actions) {
        m_timers.advance(now);

        while (!m_pending.empty()) {
            traffic_actions batch;
            std::swap(batch, m_pending);
            for (auto& it : batch) {
                if (!deliver_locally(it)) {
                    actions.push_back(std::move(it));
                }
            }
            m_timers.advance(now);
        }
        update_drain_state(actions);
    }

    /// A link of the node to itself uses no socket: entry and owner hold its two ends, which differ in
    /// `accepted_link_bit`.
    /// @return true if the action concerned such a link.
    bool deliver_locally(const traffic_action& action) {
        if (const auto* open = std::get_if<open_link>(&action);
            open != nullptr && open->peer == m_identity.self) {
            m_local_links.insert(open->link);
            dispatch(link_opened{open->link});
            return true;
        }
        if (const auto* close = std::get_if<close_link>(&action); close != nullptr) {
            return close_locally(close->link);
        }
        if (const auto* send = std::get_if<send_message>(&action); send != nullptr) {
            return send_locally(*send);
        }
        return false;
    }

    bool close_locally(link_id link) {
        if (m_local_links.erase(initiator_end(link)) == 0) {
            return false;
        }
        dispatch(link_closed{opposite_end(link)});
        return true;
    }

    bool send_locally(const send_message& action) {
        if (!m_local_links.contains(initiator_end(action.link))) {
            return false;
        }
        dispatch(message_received{opposite_end(action.link), action.message});
        return true;
    }

    static link_id initiator_end(link_id link) { return link_id{link.value() & ~accepted_link_bit}; }
    static link_id opposite_end(link_id link) { return link_id{link.value() ^ accepted_link_bit}; }

    void on(const call_arrived& event) { m_entry.on_call(event); }
    void on(const call_fate_requested& event) { m_entry.on_fate_requested(event); }
    void on(const call_abandoned& event) { m_entry.on_abandoned(event); }
    void on(const link_opened& event) { m_entry.on_link_opened(event.link); }

    void on(const link_closed& event) {
        if (is_accepted(event.link)) {
            m_owner.on_link_closed(event.link);
            return;
        }
        m_entry.on_link_closed(event.link);
    }

    void on(const message_received& event) {
        if (is_accepted(event.link)) {
            m_owner.on_message(event.link, event.message);
            return;
        }
        m_entry.on_message(event.link, event.message);
    }

    /// The owner needs no progress of accepted links: only the side that opened a link detects silence.
    void on(const link_progress& event) {
        if (!is_accepted(event.link)) {
            m_entry.on_link_progress(event.link);
        }
    }

    void on(const server_answered& event) { m_owner.on_server_answered(event); }
    void on(const server_failed& event) { m_owner.on_server_failed(event); }
    void on(const server_report& event) { m_owner.on_server_report(event); }
    void on(const server_report_failed& /*event*/) { m_owner.on_server_report_failed(); }

    void on(const server_checked& event) { m_owner.on_server_checked(event); }

    void on(const fleet_changed& event) {
        m_owner.on_fleet(event.view);
        m_entry.on_fleet(event.view);
    }

    void on(const terminate_requested& /*event*/) {
        m_owner.on_terminate();
        m_terminating = true;
    }

    void on(const stop_deadline_reached& /*event*/) { m_entry.finish_all_calls(); }

    void on(const clock_gap& /*event*/) {
        m_owner.on_pause();
        m_entry.on_pause();
    }

    static bool is_accepted(link_id link) { return (link.value() & accepted_link_bit) != 0; }

    void update_drain_state(traffic_actions& actions) {
        m_entry.set_draining(m_terminating || m_owner.state() == node_state::draining);

        const bool finished = m_owner.state() == node_state::stopped && m_entry.calls_in_progress() == 0;
        if (finished && m_terminating && !m_reported_drained) {
            m_reported_drained = true;
            actions.emplace_back(drained{});
        }
    }

    node_identity m_identity;
    random_source m_random;
    timer_service m_timers;
    entry_manager m_entry;
    owner_manager m_owner;
    traffic_actions m_pending;
    std::unordered_set<link_id> m_local_links;
    bool m_terminating = false;
    bool m_reported_drained = false;
};

traffic_core::traffic_core(node_identity identity, std::uint64_t seed, time_point start,
                           traffic_options options)
    : m_implementation(
          std::make_unique<implementation>(std::move(identity), seed, start, std::move(options))) {}

traffic_core::~traffic_core() = default;
traffic_core::traffic_core(traffic_core&&) noexcept = default;
traffic_core& traffic_core::operator=(traffic_core&&) noexcept = default;

void traffic_core::handle(const traffic_event& event, time_point now, traffic_actions& actions) {
    m_implementation->handle(event, now, actions);
}

void traffic_core::advance(time_point now, traffic_actions& actions) {
    m_implementation->advance(now, actions);
}

std::optional<time_point> traffic_core::next_due() const {
    return m_implementation->next_due();
}

node_state traffic_core::state() const {
    return m_implementation->state();
}

traffic_snapshot traffic_core::snapshot() const {
    return m_implementation->snapshot();
}

} // namespace cornelpier
