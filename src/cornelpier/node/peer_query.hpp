#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/base/units.hpp"

#include <optional>
#include <unordered_set>

namespace cornelpier {

/// Round of questions to peers about their plan, at the start and after a pause. Until it is over, the node
/// believes neither the configuration service nor its own older knowledge.
class peer_query {
  public:
    /// Longest wait for the answers.
    static constexpr duration timeout = std::chrono::seconds{1};

    /// Starts a round without peers; `ask` adds them.
    void start(time_point now) {
        m_pending_peers.clear();
        m_deadline = now + timeout;
    }

    void add_peer(const target_id& peer) { m_pending_peers.insert(peer); }

    void on_answer(const target_id& peer) { m_pending_peers.erase(peer); }

    /// @return true if this peer was asked and has not answered.
    [[nodiscard]] bool is_waiting_for(const target_id& peer) const { return m_pending_peers.contains(peer); }

    /// @return true if a round is in progress.
    [[nodiscard]] bool active() const { return m_deadline.has_value(); }

    /// @return true, once, when every peer has answered or the time is over.
    bool take_finished(time_point now) {
        if (!m_deadline || (!m_pending_peers.empty() && now < *m_deadline)) {
            return false;
        }
        m_deadline.reset();
        return true;
    }

  private:
    std::optional<time_point> m_deadline;
    std::unordered_set<target_id> m_pending_peers;
};

} // namespace cornelpier
