#pragma once

#include "cornelpier/entry/entry_context.hpp"

#include <functional>
#include <string>
#include <unordered_map>

namespace cornelpier {

/// Why a link can be used no more.
enum class link_loss : std::uint8_t {
    unreachable, ///< It was never opened.
    closed,      ///< The peer or the network closed it.
    silent,      ///< It made no progress.
    reset,       ///< This node gave it up.
};

/// What the owner of a link set is told and asked.
struct link_callbacks {
    std::function<void(const target_id&)> on_link_ready; ///< Messages can be sent; `hello` was.
    std::function<void(const target_id&, link_loss)> on_link_lost;
    std::function<bool(const target_id&)> awaits_reply; ///< Whether a reply of the peer is awaited.
    std::function<void(const target_id&, duration)> on_round_trip; ///< Of a message that is answered at once.
};

/// Links that this node opened, one per target. Replaces the ones that make no progress and closes idle ones.
/// A link that went silent may only be slow: it stays open for a while beside the next one, so that the peer
/// goes on with its work and late messages still arrive.
class link_set {
  public:
    link_set(entry_context& context, link_callbacks callbacks);

    /// Opens a link unless there is one. After a failure it is opened with a delay.
    /// @param address `IP:port`.
    void open(const target_id& target, const std::string& address);

    /// @return true if messages can be sent.
    [[nodiscard]] bool is_ready(const target_id& target) const;

    /// @return true if the peer has not been heard on the last links and is not connected now.
    [[nodiscard]] bool is_backing_off(const target_id& target) const;

    /// Sends a message on a link that is ready; otherwise drops it.
    void send(const target_id& target, traffic_message message);

    void on_opened(link_id link);
    void on_closed(link_id link);

    /// Notes that a message came in.
    /// @return the peer, or nullptr if the link is not one of this set.
    const target_id* on_received(link_id link, const traffic_message& message);

    /// Gives up the link of a target, if there is one.
    void reset(const target_id& target, link_loss cause);

    /// Gives up all links.
    void reset_all();

    /// Gives up links whose address is no longer the one in the plan.
    void on_plan_changed();

    /// @return links that are open or opening.
    [[nodiscard]] std::size_t size() const { return m_targets.size(); }

  private:
    enum class phase : std::uint8_t { closed, opening, open };

    struct link_state {
        link_id link;
        std::string address;
        phase current_phase = phase::closed;
        bool has_received = false; ///< The peer sent something on this link.
        bool awaits_hello = false;
        bool awaits_pong = false;
        bool progress_check_scheduled = false; ///< A progress check is scheduled.
        time_point progress_at;
        time_point opened_at;
        time_point pinged_at;
        time_point used_at;
        timer_service::timer_id progress_timer = 0;
        timer_service::timer_id idle_timer = 0;
        timer_service::timer_id open_timer = 0;
        std::uint32_t failures = 0;
    };

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
    std::unordered_map<link_id, target_id> m_retired; ///< Silent links that are not closed yet.
};

} // namespace cornelpier
