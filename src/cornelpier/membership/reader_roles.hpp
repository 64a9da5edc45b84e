#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/base/units.hpp"
#include "cornelpier/membership/relay_tree.hpp"

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

namespace cornelpier {

/// A node that can read the platform's service on behalf of others.
struct reader_candidate {
    target_id node;
    data_centre_id data_centre;
    bool leaving = false; ///< Its process ends soon.
};

/// Assigns the reader and relay roles from a member list that all nodes of a region share. One node reads the
/// platform's service and sends updates to one or two relays in each data centre, which forward them to the
/// nodes there. The load on the service is therefore independent of the fleet size, and no node sends to more
/// than a data centre and the relays of the others.
///
/// Nodes that leave have no role as long as there are others, so that the roles pass on before they end.
///
/// Any node can read for itself and does so after a time without updates, so that no change depends on a
/// reader that has failed. Relays do so slightly earlier and forward the result to their data centre.
class reader_roles {
  public:
    /// Data centres with at least this many nodes have a second relay.
    static constexpr std::size_t two_relay_min_nodes = 6;

    /// How much earlier than other nodes a relay reads if no updates arrive.
    static constexpr duration relay_lead = std::chrono::milliseconds{150};

    /// @param self name of this node.
    /// @param data_centre data centre of this node.
    /// @param silence_timeout time without updates after which a node reads for itself: longer than the
    /// interval between updates, and shorter than the time within which changes must take effect.
    reader_roles(target_id self, data_centre_id data_centre, duration silence_timeout)
        : m_self(std::move(self)), m_data_centre(std::move(data_centre)), m_silence_timeout(silence_timeout) {
    }

    /// Recomputes the roles.
    /// @param members nodes of this node's region.
    void set_members(const std::vector<reader_candidate>& members);

    /// Records that this node was up to date, by an update or by its own read.
    /// @param at time of the read that showed it, which may be long before the update arrives.
    void on_confirmed(time_point at) { m_confirmed_at = at; }

    /// @return when this node was last known to be up to date.
    [[nodiscard]] time_point confirmed_at() const { return m_confirmed_at; }

    /// @return true if this node reads for the region.
    [[nodiscard]] bool is_reader() const { return m_is_reader; }

    /// @return true if this node forwards updates to its data centre.
    [[nodiscard]] bool is_relay() const { return m_is_relay; }

    /// @return the reader of the region, or nothing while no members are known.
    [[nodiscard]] const std::optional<target_id>& reader() const { return m_reader; }

    /// @return the relays of this node's data centre, which update this node if it is listed.
    [[nodiscard]] const std::vector<target_id>& relays() const { return m_relays; }

    /// @return the relays that this node updates, with the tree of which each is the root.
    [[nodiscard]] const std::vector<std::pair<target_id, relay_route>>& updated_roots() const {
        return m_updated_roots;
    }

    /// @return whether other nodes have this node in their list and send it updates.
    [[nodiscard]] bool is_listed() const { return m_is_listed; }

    /// @return the nodes to which this node sends updates.
    [[nodiscard]] const std::vector<target_id>& recipients() const { return m_recipients; }

    /// @return the trees along which large updates are passed on in this node's data centre.
    [[nodiscard]] const relay_tree& tree() const { return m_tree; }

    /// @return true if this node has to read now.
    [[nodiscard]] bool must_read(time_point now) const { return m_is_reader || now >= read_due_at(); }

    /// @return when this node has to read unless an update arrives earlier.
    [[nodiscard]] time_point read_due_at() const {
        return m_confirmed_at + m_silence_timeout - (m_is_relay ? relay_lead : duration::zero());
    }

  private:
    target_id m_self;
    data_centre_id m_data_centre;
    duration m_silence_timeout;
    bool m_is_reader = true; ///< Until the members are known, every node reads for itself.
    bool m_is_relay = false;
    bool m_is_listed = false;
    std::vector<target_id> m_relays;
    std::vector<std::pair<target_id, relay_route>> m_updated_roots;
    std::optional<target_id> m_reader;
    std::vector<target_id> m_recipients;
    relay_tree m_tree;
    time_point m_confirmed_at{};
};

} // namespace cornelpier
