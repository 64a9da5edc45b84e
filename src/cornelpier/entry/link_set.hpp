#pragma once

#include "cornelpier/entry/entry_context.hpp"

#include <functional>
#include <string>
#include <unordered_map>

namespace cornelpier {

/// Why a link was lost.
enum class link_loss : std::uint8_t {
    unreachable, ///< The connection could not be opened.
    closed,      ///< The peer or the network closed it.
    silent,      ///< No message arrived in time, not even the reply to a ping.
    reset,       ///< This node closed it on purpose.
};

/// Callbacks of a link set.
struct link_callbacks {
    std::function<void(const target_id&)> on_link_ready; ///< `hello` was sent; messages can follow.
    std::function<void(const target_id&, link_loss)> on_link_lost;
    std::function<bool(const target_id&)> awaits_reply; ///< Whether a reply from the peer is outstanding.
    /// Round trip of a message that the peer answers at once.
    std::function<void(const target_id&, duration)> on_round_trip;
};

/// Links opened by this node, one per target. Replaces links that make no progress and closes idle ones. A
/// silent link may only be slow, so it stays open for a while beside its replacement: the peer keeps working
/// on its runs, and late messages still arrive.
class link_set {
  public:
    link_set(entry_context& context, link_callbacks callbacks);

    /// Opens a link unless there is one. After failures it is opened with an exponential backoff.
    /// @param address `IP:port`.
    void open(const target_id& target, const std::string& address);

    /// @return true if messages can be sent.
    [[nodiscard]] bool is_ready(const target_id& target) const;

    /// @return true if there is no open link and the last ones failed before a message arrived.
    [[nodiscard]] bool is_backing_off(const target_id& target) const;

    /// Sends a message if the link is ready; drops it otherwise.
    void send(const target_id& target, traffic_message message);

    void on_opened(link_id link);
    void on_closed(link_id link);

    /// Records progress on a link.
    /// @return the target at its other end, or nullptr if the link is not in this set.
    const target_id* on_received(link_id link, const traffic_message& message);

    /// Records that part of a message was received on a link.
    void on_progress(link_id link);

    /// Closes the link of a target, if there is one.
    void reset(const target_id& target, link_loss cause);

    /// Closes all links.
    void reset_all();

    /// Closes links whose address changed in the plan, and unused links to targets that are no longer in it.
    void on_plan_changed();

    /// @return links that are open or opening.
    [[nodiscard]] std::size_t size() const { return m_targets.size(); }

  private:
    enum class phase : std::uint8_t { closed, opening, open };

    struct link_state {
        link_id link;
        std::string address;
        phase current_phase = phase::closed;
        bool has_received = false; ///< A message has arrived on this link.
        bool awaits_hello = false;
        bool awaits_pong = false;
        bool progress_check_scheduled = false;
        time_point progress_at;
        time_point opened_at;
        time_point pinged_at;
        time_point used_at;
        timer_service::timer_id progress_timer = 0;
        timer_service::timer_id idle_timer = 0;
        timer_service::timer_id open_timer = 0;
        std::uint32_t failures = 0;
    };

    void note_progress(link_state& state);
    void start_opening(const target_id& target);
    void schedule_progress_check(const target_id& target, link_state& state, time_point due);
    void check_progress(const target_id& target);
    void check_idle(const target_id& target);
    [[nodiscard]] bool expects_message(const target_id& target, const link_state& state) const;
    void release(link_state& state);
    void handle_loss(const target_id& target, link_loss cause, bool close);
    void retire(link_id link, const target_id& target);

    entry_context& m_context;
    link_callbacks m_callbacks;
    std::uint64_t m_last_link = 0;
    std::unordered_map<target_id, link_state> m_links;
    std::unordered_map<link_id, target_id> m_targets;
    std::unordered_map<link_id, target_id> m_retired; ///< Silent links that are still open.
};

} // namespace cornelpier
