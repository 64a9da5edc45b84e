#include "cornelpier/entry/link_set.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace cornelpier {

namespace {

// Until a ping is sent, and again until its reply.
constexpr duration silence_timeout = std::chrono::milliseconds{250};

// A new connection takes about 1 ms.
constexpr duration open_timeout = std::chrono::milliseconds{250};

// By then the next link is open and the fate of all runs was queried.
constexpr duration retire_delay = std::chrono::seconds{1};

constexpr duration idle_timeout = std::chrono::seconds{60};
constexpr duration initial_backoff = std::chrono::milliseconds{50};
constexpr std::uint32_t max_backoff_doublings = 5;

duration backoff(std::uint32_t failures, random_source& random) {
    const auto doublings = std::min(failures - 1, max_backoff_doublings);
    const double jitter = 0.5 + random.unit();
    return from_seconds(to_seconds(initial_backoff) * static_cast<double>(1U << doublings) * jitter);
}

} // namespace

link_set::link_set(entry_context& context, link_callbacks callbacks)
    : m_context(context), m_callbacks(std::move(callbacks)) {}

void link_set::open(const target_id& target, const std::string& address) {
    auto& state = m_links[target];
    state.address = address;
    if (state.current_phase != phase::closed || state.open_timer != 0) {
        return;
    }
    if (state.failures == 0) {
        start_opening(target);
        return;
    }
    state.open_timer = m_context.timers.call_after(backoff(state.failures, m_context.random),
                                                   [this, target] { start_opening(target); });
}

void link_set::start_opening(const target_id& target) {
    auto& state = m_links[target];
    state.current_phase = phase::opening;
    state.link = link_id{++m_last_link};
    m_targets.emplace(state.link, target);

    m_context.emit(open_link{state.link, target, state.address});
    state.open_timer = m_context.timers.call_after(
        open_timeout, [this, target] { handle_loss(target, link_loss::unreachable, true); });
}

bool link_set::is_ready(const target_id& target) const {
    const auto it = m_links.find(target);
    return it != m_links.end() && it->second.current_phase == phase::open;
}

bool link_set::is_backing_off(const target_id& target) const {
    const auto it = m_links.find(target);
    return it != m_links.end() && it->second.current_phase != phase::open && it->second.failures > 0;
}

void link_set::send(const target_id& target, traffic_message message) {
    const auto it = m_links.find(target);
    if (it == m_links.end() || it->second.current_phase != phase::open) {
        return;
    }
    auto& state = it->second;
    state.used_at = m_context.now();
    if (!expects_message(target, state)) {
        state.progress_at = m_context.now();
    }
    m_context.emit(send_message{state.link, std::move(message)});
    if (!state.progress_check_scheduled) {
        schedule_progress_check(target, state, state.progress_at + silence_timeout);
    }
}

void link_set::on_opened(link_id link) {
    const auto it = m_targets.find(link);
    if (it == m_targets.end()) {
        return;
    }
    const target_id target = it->second;
    auto& state = m_links[target];
    m_context.timers.cancel(std::exchange(state.open_timer, 0));
    state.current_phase = phase::open;
    state.progress_at = m_context.now();
    state.opened_at = m_context.now();
    state.idle_timer = m_context.timers.call_after(idle_timeout, [this, target] { check_idle(target); });

    const auto version = m_context.view == nullptr ? 0 : m_context.view->current_plan->version;
    const auto& identity = m_context.identity;
    send(target, hello{identity.self, identity.process, identity.data_centre, version});
    state.awaits_hello = true;
    m_callbacks.on_link_ready(target);
}

void link_set::on_closed(link_id link) {
    if (m_retired.erase(link) > 0) {
        return;
    }
    const auto it = m_targets.find(link);
    if (it == m_targets.end()) {
        return;
    }
    const target_id target = it->second;
    const bool was_open = m_links[target].current_phase == phase::open;
    handle_loss(target, was_open ? link_loss::closed : link_loss::unreachable, false);
}

const target_id* link_set::on_received(link_id link, const traffic_message& message) {
    if (const auto retired = m_retired.find(link); retired != m_retired.end()) {
        return &retired->second;
    }
    const auto it = m_targets.find(link);
    if (it == m_targets.end()) {
        return nullptr;
    }
    auto& state = m_links[it->second];
    const time_point now = m_context.now();
    if (std::holds_alternative<hello>(message) && std::exchange(state.awaits_hello, false)) {
        m_callbacks.on_round_trip(it->second, now - state.opened_at);
    }
    if (std::holds_alternative<pong>(message) && state.awaits_pong) {
        m_callbacks.on_round_trip(it->second, now - state.pinged_at);
    }
    note_progress(state);
    return &it->second;
}

void link_set::on_progress(link_id link) {
    if (const auto it = m_targets.find(link); it != m_targets.end()) {
        note_progress(m_links[it->second]);
    }
}

void link_set::note_progress(link_state& state) {
    state.progress_at = m_context.now();
    state.awaits_pong = false;
    state.has_received = true;
    state.failures = 0;
}

void link_set::reset(const target_id& target, link_loss cause) {
    const auto it = m_links.find(target);
    if (it != m_links.end() && it->second.current_phase != phase::closed) {
        handle_loss(target, cause, true);
    }
}

/// Closes all links before it reports the first loss, so that no retry is sent on a link that is about to be
/// closed.
void link_set::reset_all() {
    std::vector<std::pair<link_id, target_id>> links(m_targets.begin(), m_targets.end());
    std::ranges::sort(links);
    for (const auto& [link, target] : links) {
        m_context.emit(close_link{link});
        release(m_links[target]);
    }
    for (const auto& [link, target] : std::exchange(m_retired, {})) {
        m_context.emit(close_link{link});
    }
    for (const auto& [link, target] : links) {
        m_callbacks.on_link_lost(target, link_loss::reset);
    }
}

void link_set::on_plan_changed() {
    std::vector<std::pair<link_id, target_id>> links(m_targets.begin(), m_targets.end());
    std::ranges::sort(links);
    for (const auto& [link, target] : links) {
        const auto* planned = m_context.find_target(target);
        const bool moved = planned != nullptr && planned->node_address != m_links[target].address;
        const bool unused = planned == nullptr && !expects_message(target, m_links[target]);
        if (moved || unused) {
            reset(target, link_loss::reset);
        }
    }
}

bool link_set::expects_message(const target_id& target, const link_state& state) const {
    return state.awaits_hello || state.awaits_pong || m_callbacks.awaits_reply(target);
}

void link_set::schedule_progress_check(const target_id& target, link_state& state, time_point due) {
    state.progress_check_scheduled = true;
    state.progress_timer = m_context.timers.call_at(due, [this, target] { check_progress(target); });
}

void link_set::check_progress(const target_id& target) {
    auto& state = m_links[target];
    state.progress_check_scheduled = false;
    if (!expects_message(target, state)) {
        return;
    }

    const time_point now = m_context.now();
    if (state.awaits_pong && now - state.pinged_at >= silence_timeout) {
        m_context.log_event(event_number::link_silent, {{"target", target.value()}});
        handle_loss(target, link_loss::silent, true);
        return;
    }
    if (!state.awaits_pong && now - state.progress_at >= silence_timeout) {
        m_context.emit(send_message{state.link, ping{}});
        state.awaits_pong = true;
        state.pinged_at = now;
    }
    schedule_progress_check(target, state,
                            (state.awaits_pong ? state.pinged_at : state.progress_at) + silence_timeout);
}

void link_set::check_idle(const target_id& target) {
    auto& state = m_links[target];
    const time_point due = state.used_at + idle_timeout;
    if (expects_message(target, state) || m_context.now() < due) {
        const time_point next = std::max(due, m_context.now() + silence_timeout);
        state.idle_timer = m_context.timers.call_at(next, [this, target] { check_idle(target); });
        return;
    }
    m_context.emit(close_link{state.link});
    release(state);
    state.has_received = false;
}

void link_set::release(link_state& state) {
    m_context.timers.cancel(std::exchange(state.progress_timer, 0));
    m_context.timers.cancel(std::exchange(state.idle_timer, 0));
    m_context.timers.cancel(std::exchange(state.open_timer, 0));
    m_targets.erase(state.link);
    state.current_phase = phase::closed;
    state.progress_check_scheduled = false;
    state.awaits_hello = false;
    state.awaits_pong = false;
}

void link_set::retire(link_id link, const target_id& target) {
    m_retired.emplace(link, target);
    m_context.timers.call_after(retire_delay, [this, link] {
        if (m_retired.erase(link) > 0) {
            m_context.emit(close_link{link});
        }
    });
}

/// @param target must not refer to an element of this set, because `release` erases it.
void link_set::handle_loss(const target_id& target, link_loss cause, bool close) {
    auto& state = m_links[target];
    if (close && cause == link_loss::silent) {
        retire(state.link, target);
    } else if (close) {
        m_context.emit(close_link{state.link});
    }
    release(state);
    if (!std::exchange(state.has_received, false)) {
        ++state.failures;
    }
    if (cause == link_loss::closed) {
        m_context.log_event(event_number::link_lost, {{"target", target.value()}});
    }
    m_callbacks.on_link_lost(target, cause);
}

} // namespace cornelpier
