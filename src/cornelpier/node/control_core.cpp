#include "cornelpier/node/control_core.hpp"

#include "cornelpier/base/event_limiter.hpp"
#include "cornelpier/base/random_source.hpp"
#include "cornelpier/membership/gossip_composer.hpp"
#include "cornelpier/membership/member_manager.hpp"
#include "cornelpier/membership/peer_selector.hpp"
#include "cornelpier/membership/reader_election.hpp"
#include "cornelpier/node/peer_query.hpp"
#include "cornelpier/node/plan_read_scheduler.hpp"
#include "cornelpier/node/view_publisher.hpp"
#include "cornelpier/plan/plan_freshness.hpp"
#include "cornelpier/plan/plan_manager.hpp"
#include "cornelpier/plan/plan_puller.hpp"
#include "cornelpier/timer/timer_service.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace cornelpier {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration gossip_period = seconds{1};
constexpr duration vm_list_period = seconds{2};
constexpr duration vm_list_read_timeout = seconds{10};

/// How often deadlines of reads and pulls are checked and a collected view change may be published.
constexpr duration poll_period = milliseconds{250};

constexpr std::size_t gossip_fanout = 3;
constexpr std::size_t query_fanout = 3;
constexpr std::size_t plan_announcement_fanout = 4;

} // namespace

/// Routes events to the components that hold the plan and the members, and decides when to gossip, to read
/// the platform's services and to publish a view.
class control_core::implementation {
  public:
    implementation(node_identity identity, std::uint64_t seed, time_point start, plan_parse_function parse)
        : m_identity(std::move(identity)), m_random(seed), m_timers(start), m_last_handled_at(start),
          m_plans(std::move(parse)), m_members(m_identity, start),
          m_composer(m_identity, m_members, m_random.split()),
          m_election(m_identity.self, m_identity.data_centre), m_plan_reads(m_random.split()),
          m_freshness(start) {
        m_query.start(start);
        m_timers.call_at(start, [this] { start_query(false); });
        m_timers.call_every(poll_period, [this] { poll_sources(); });
        // A random phase keeps nodes that start together from gossiping at the same moment.
        const duration phase{static_cast<std::int64_t>(m_random.below(gossip_period.count()))};
        m_timers.call_after(phase, [this] {
            gossip_round();
            m_timers.call_every(gossip_period, [this] { gossip_round(); });
        });
    }

    void handle(const control_event& event, time_point now, control_actions& actions) {
        m_actions = &actions;
        m_timers.set_now(now);
        std::visit([this](const auto& it) { on(it); }, event);
        run_due_work(now);
    }

    void advance(time_point now, control_actions& actions) {
        m_actions = &actions;
        run_due_work(now);
    }

    [[nodiscard]] std::optional<time_point> next_due() const { return m_timers.next_due(); }

    [[nodiscard]] control_snapshot snapshot(time_point now) const {
        const time_point at = now + m_suspended_time;
        control_snapshot result;
        result.digest = m_plans.digest();
        result.plan_age = m_plans.current() ? m_freshness.in_force_age(at) : duration::zero();
        result.plan_confirmed_age = m_freshness.confirmed_age(at);
        result.reader = m_election.is_reader();
        result.conflict = m_plans.conflict();
        for (const auto& it : m_members.members()) {
            result.members.push_back(it.record(at));
            const bool own = it.id == m_identity.self;
            if (own) {
                result.members.back().age = duration::zero();
            } else if (it.in_plan && it.age(at) >= stale_age) {
                result.stale_members.push_back(it.id);
            }
        }
        return result;
    }

  private:
    /// @return current time plus the pauses that the monotonic clock did not count, so that ages keep
    /// growing.
    [[nodiscard]] time_point adjusted_now() const { return m_timers.now() + m_suspended_time; }

    void run_due_work(time_point now) {
        m_timers.advance(now);
        m_last_handled_at = std::max(m_last_handled_at, now);
        if (m_query.take_finished(adjusted_now())) {
            m_views.request_now();
            start_due_reads();
        }
        for (auto& it : m_members.take_events()) {
            record(std::move(it));
        }
        publish_due_view();
        m_actions = nullptr;
    }

    void record(event_record event) {
        if (m_limiter.allow(event, adjusted_now())) {
            m_actions->emplace_back(record_event{std::move(event)});
        }
    }

    void send(const peer& to, control_message message) {
        m_actions->emplace_back(send_control_message{to.id, to.address, std::move(message)});
    }

    [[nodiscard]] plan_summary summary() const {
        return {m_plans.digest(), m_freshness.confirmed_age(adjusted_now())};
    }

    /// @return the sender with the address to reply to, or nothing if no address is known.
    [[nodiscard]] std::optional<peer> reply_peer(const target_id& from, const std::string& address) const {
        if (!address.empty()) {
            return peer{from, address};
        }
        const member* existing = m_members.find(from);
        if (existing == nullptr || existing->address.empty()) {
            return std::nullopt;
        }
        return peer{from, existing->address};
    }

    /// Starts a peer query. Without a plan it requests the plan sheet. After a pause it requests digests,
    /// which show whether the plan in force is still the one that peers have.
    void start_query(bool after_pause) {
        m_query.start(adjusted_now());
        m_timers.call_after(peer_query::timeout, [] {}); // Wakes the core when the query times out.
        m_first_exchange_of_query = m_composer.last_exchange() + 1;
        for (const auto& it : m_peers.pick(std::as_const(m_members).members(), query_fanout, m_random)) {
            m_query.add_peer(it.id);
            if (after_pause && m_plans.current()) {
                send(it, m_composer.compose_heartbeat_request(summary(), adjusted_now()));
            } else {
                send(it, plan_pull{m_identity.self});
            }
        }
    }

    void gossip_round() {
        if (m_query.active()) {
            return;
        }
        m_members.expire_removed_members(adjusted_now());
        m_election.update(std::as_const(m_members).members(), adjusted_now());

        for (const auto& it :
             m_peers.pick_with_local_peer(std::as_const(m_members).members(), gossip_fanout, m_random)) {
            send(it, m_composer.compose_request(summary(), adjusted_now()));
        }
        for (const auto& it : m_election.group_peers()) {
            send({it, m_members.find(it)->address},
                 m_composer.compose_heartbeat_request(summary(), adjusted_now()));
        }
    }

    void poll_sources() {
        if (m_query.active()) {
            return;
        }
        if (const auto next = m_puller.poll(adjusted_now())) {
            send(*next, plan_pull{m_identity.self});
        }
        start_due_reads();
    }

    [[nodiscard]] plan_read_reason read_reason() const {
        if (!m_plans.current()) {
            return plan_read_reason::bootstrap;
        }
        if (m_election.is_reader()) {
            return plan_read_reason::reader;
        }
        const bool fresh =
            m_freshness.unconfirmed_for(adjusted_now()) < plan_read_scheduler::confirmation_timeout;
        return fresh ? plan_read_reason::none : plan_read_reason::fallback;
    }

    void start_due_reads() {
        if (m_query.active()) {
            return;
        }
        const auto reason = read_reason();
        if (const auto read = m_plan_reads.poll(reason, m_plans.digest().version, adjusted_now())) {
            m_actions->emplace_back(*read);
        }
        if (reason == plan_read_reason::reader && adjusted_now() >= m_next_vm_list_read_at) {
            m_next_vm_list_read_at = adjusted_now() + vm_list_read_timeout;
            m_actions->emplace_back(read_vm_list{});
        }
    }

    /// Offers a sheet to the plan manager and records the event that results.
    plan_outcome offer_plan(const std::string& sheet, std::string_view source) {
        auto decision = m_plans.offer(sheet, source);
        if (decision.event) {
            record(std::move(*decision.event));
        }
        if (decision.outcome == plan_outcome::accepted) {
            on_plan_accepted();
        }
        return decision.outcome;
    }

    void on_plan_accepted() {
        m_freshness.accepted(adjusted_now());
        m_puller.on_plan_accepted(m_plans.digest().version);
        m_members.apply_plan(*m_plans.current(), adjusted_now());
        m_views.request_now();
        if (m_query.active()) {
            return;
        }
        for (const auto& it :
             m_peers.pick(std::as_const(m_members).members(), plan_announcement_fanout, m_random)) {
            send(it, m_composer.compose_heartbeat(summary(), adjusted_now()));
        }
    }

    void publish_due_view() {
        if (!m_plans.current() || m_query.active()) {
            return;
        }
        if (m_members.take_leaving_changed()) {
            m_views.request_soon();
        }
        if (m_members.take_changed()) {
            m_views.request_later();
        }
        if (auto view =
                m_views.take_due(m_plans.current(), std::as_const(m_members).members(), adjusted_now())) {
            m_actions->emplace_back(publish_view{std::move(view)});
        }
    }

    void on(const control_message_received& event) {
        std::visit(
            [&](const auto& it) {
                if (it.from != m_identity.self) {
                    on_message(it, event.address);
                }
            },
            event.message);
    }

    void on_message(const plan_pull& message, const std::string& address) {
        const auto from = reply_peer(message.from, address);
        if (!from) {
            return;
        }
        if (m_plans.current()) {
            send(*from, plan_push{m_identity.self, m_plans.current()->sheet});
        } else {
            // The digest of version 0 ends the peer's wait for a plan from this node.
            send(*from, m_composer.compose_heartbeat(summary(), adjusted_now()));
        }
    }

    void on_message(const plan_push& message, const std::string& /*address*/) {
        offer_plan(message.sheet, message.from.value());
        m_query.on_answer(message.from);
    }

    /// Ignored: source updates are for nodes that get their plan from a platform adapter.
    void on_message(const source_update& /*message*/, const std::string& /*address*/) {}
    void on_message(const source_query& /*message*/, const std::string& /*address*/) {}

    void on_message(const gossip& message, const std::string& address) {
        // A message that was queued during a pause has ages that are too low. While a query is active, a node
        // with a plan therefore accepts only replies to exchanges that started with or after the query.
        const bool reply_to_query = !message.wants_reply && message.exchange_id >= m_first_exchange_of_query;
        if (m_query.active() && !reply_to_query && m_plans.current()) {
            return;
        }
        apply_gossip(message);

        const auto from = reply_peer(message.from, address);
        const bool pulls_plan = compare_plans(message, from);
        if (m_query.is_waiting_for(message.from) && !message.wants_reply && !pulls_plan) {
            m_query.on_answer(message.from);
        }
        if (message.wants_reply && from) {
            send(*from, m_composer.compose_reply(message, summary(), adjusted_now()));
        }
    }

    void apply_gossip(const gossip& message) {
        member_record direct;
        direct.target = message.from;
        direct.vm_age = unknown_age;
        for (const auto& it : message.members) {
            if (it.target == message.from) {
                direct = it;
            } else {
                m_members.apply_relayed_record(it, adjusted_now());
            }
        }
        direct.process = message.process;
        m_members.apply_direct_record(direct, adjusted_now());
    }

    /// Compares the sender's plan digest with the own one and pulls or announces the newer plan.
    /// @return true if the sender's plan is being pulled.
    bool compare_plans(const gossip& message, const std::optional<peer>& from) {
        const plan_digest own = m_plans.digest();
        if (message.digest == own && own.version != 0) {
            m_freshness.confirm_by_peer(message.confirmed_age, adjusted_now());
            return false;
        }
        if (auto event = m_plans.compare(message.digest, message.from.value())) {
            record(std::move(*event));
        }
        if (!from) {
            return false;
        }

        if (message.digest.version > own.version && !m_plans.was_refused(message.digest.content_hash)) {
            if (const auto next = m_puller.on_newer_plan(message.digest, *from, adjusted_now())) {
                send(*next, plan_pull{m_identity.self});
            }
            return true;
        }
        if (message.digest.version < own.version && !message.wants_reply) {
            send(*from, m_composer.compose_heartbeat(summary(), adjusted_now()));
        }
        return false;
    }

    void on(const plan_read& event) {
        if (m_query.active()) {
            // The sheet may have been read before the pause and be out of date.
            m_plan_reads.finish(read_outcome::refused, adjusted_now());
            return;
        }
        const auto outcome = offer_plan(event.sheet, "configuration service");
        const bool current = outcome == plan_outcome::accepted || outcome == plan_outcome::unchanged;
        if (current) {
            m_freshness.confirm(adjusted_now());
        }
        m_plan_reads.finish(current ? read_outcome::success : read_outcome::refused, adjusted_now());
        start_due_reads();
    }

    void on(const plan_unchanged& /*event*/) {
        const bool current = m_plans.current() && m_plan_reads.watched_version() == m_plans.digest().version;
        if (current && !m_query.active()) {
            m_freshness.confirm(adjusted_now());
        }
        m_plan_reads.finish(read_outcome::success, adjusted_now());
        start_due_reads();
    }

    void on(const plan_read_failed& /*event*/) {
        record({event_number::configuration_unreachable, {}});
        m_plan_reads.finish(read_outcome::failed, adjusted_now());
    }

    void on(const vm_list_read& event) {
        m_next_vm_list_read_at = adjusted_now() + vm_list_period;
        if (m_query.active()) {
            return;
        }
        // Notifies the node on each such VM directly, so that it does not have to wait for periodic gossip.
        for (const auto& it : m_members.apply_vm_list(event.vms, adjusted_now())) {
            const member* existing = m_members.find(it);
            if (existing->address.empty() || it == m_identity.self) {
                continue;
            }
            gossip message = m_composer.compose_heartbeat(summary(), adjusted_now());
            message.members.push_back(existing->record(adjusted_now()));
            send({it, existing->address}, std::move(message));
        }
    }

    void on(const vm_list_read_failed& /*event*/) {
        m_next_vm_list_read_at = adjusted_now() + vm_list_period;
        record({event_number::vm_list_unreachable, {}});
    }

    void on(const own_state_changed& event) {
        m_members.set_own_state(event.state);
        if (m_query.active()) {
            return;
        }
        for (const auto& it : m_peers.pick(std::as_const(m_members).members(), gossip_fanout, m_random)) {
            send(it, m_composer.compose_heartbeat(summary(), adjusted_now()));
        }
    }

    void on(const clock_gap& event) {
        // Adds only the part of the gap that the monotonic clock did not count, so that ages do not grow
        // twice.
        const duration counted = m_timers.now() - m_last_handled_at;
        m_suspended_time += std::max(event.length - counted, duration::zero());
        m_election.reset();
        start_query(true);
    }

    node_identity m_identity;
    random_source m_random;
    timer_service m_timers;
    time_point m_last_handled_at;
    duration m_suspended_time{}; ///< Pauses that the monotonic clock did not count.
    control_actions* m_actions = nullptr;

    plan_manager m_plans;
    member_manager m_members;
    gossip_composer m_composer;
    peer_selector m_peers;
    reader_election m_election;
    plan_read_scheduler m_plan_reads;
    plan_puller m_puller;
    peer_query m_query;
    event_limiter m_limiter;
    plan_freshness m_freshness;
    view_publisher m_views;

    std::uint64_t m_first_exchange_of_query = 0; ///< Replies to earlier exchanges may be out of date.
    time_point m_next_vm_list_read_at;
};

control_core::control_core(node_identity identity, std::uint64_t seed, time_point start,
                           plan_parse_function parse)
    : m_implementation(std::make_unique<implementation>(std::move(identity), seed, start, std::move(parse))) {
}

control_core::~control_core() = default;
control_core::control_core(control_core&&) noexcept = default;
control_core& control_core::operator=(control_core&&) noexcept = default;

void control_core::handle(const control_event& event, time_point now, control_actions& actions) {
    m_implementation->handle(event, now, actions);
}

void control_core::advance(time_point now, control_actions& actions) {
    m_implementation->advance(now, actions);
}

std::optional<time_point> control_core::next_due() const {
    return m_implementation->next_due();
}

control_snapshot control_core::snapshot(time_point now) const {
    return m_implementation->snapshot(now);
}

} // namespace cornelpier
