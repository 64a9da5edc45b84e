#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/base/units.hpp"

#include <optional>
#include <unordered_set>

namespace cornelpier {

/// Query of several peers about their plan, at the start and after a pause. While it is active, the node acts
/// neither on reads of the configuration service nor on its own state, since both may be out of date.
class peer_query {
  public:
    /// Maximum wait for the answers.
    static constexpr duration timeout = std::chrono::seconds{1};

    /// Starts a query without peers; `add_peer` adds them.
    void start(time_point now) {
        m_pending_peers.clear();
        m_deadline = now + timeout;
    }

    void add_peer(const target_id& peer) { m_pending_peers.insert(peer); }

    void on_answer(const target_id& peer) { m_pending_peers.erase(peer); }

    /// @return true if this peer is part of the query and has not answered.
    [[nodiscard]] bool is_waiting_for(const target_id& peer) const { return m_pending_peers.contains(peer); }

    /// @return true if a query is in progress.
    [[nodiscard]] bool active() const { return m_deadline.has_value(); }

    /// Ends the query if every peer has answered or the timeout has expired.
    /// @return true if this call ended the query.
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
