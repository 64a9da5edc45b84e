#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/base/units.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace cornelpier {

/// A node that may read the platform's service for others.
struct reader_candidate {
    target_id node;
    data_centre_id data_centre;
};

/// Decides who reads the platform's service and who tells whom, from a list that all nodes of a region know.
/// One node reads and tells one or two relays in each data centre, which tell the nodes there: what the
/// service is asked does not grow with the fleet, and no node tells more than a data centre.
///
/// Every node can read for itself. One that hears nothing for a while does so, relays a little earlier than
/// the others and for all of their data centre, so that no change waits for a reader that is gone.
class reader_roles {
  public:
    /// Data centres of at least this many nodes have a second relay.
    static constexpr std::size_t two_relay_min_nodes = 6;

    /// By how much relays read earlier than the others if nobody is heard.
    static constexpr duration relay_lead = std::chrono::milliseconds{150};

    /// @param self name of the own node.
    /// @param data_centre of the own node.
    /// @param silence_limit time after which a node that heard nothing reads for itself: longer than the
    /// interval between words, and below the time within which changes must be taken up.
    reader_roles(target_id self, data_centre_id data_centre, duration silence_timeout)
        : m_self(std::move(self)), m_data_centre(std::move(data_centre)), m_silence_timeout(silence_timeout) {
    }

    /// Takes the nodes of the own region.
    void set_members(const std::vector<reader_candidate>& members);

    /// Notes that this node knew everything, by another's word or by its own reading.
    void on_confirmed(time_point now) { m_confirmed_at = now; }

    /// @return when it last knew everything.
    [[nodiscard]] time_point confirmed_at() const { return m_confirmed_at; }

    /// @return whether this node reads for the region.
    [[nodiscard]] bool is_reader() const { return m_is_reader; }

    /// @return whether this node tells those of its data centre.
    [[nodiscard]] bool is_relay() const { return m_is_relay; }

    /// @return the node that reads for the region; nothing until the others are known.
    [[nodiscard]] const std::optional<target_id>& reader() const { return m_reader; }

    /// @return the nodes that this one tells.
    [[nodiscard]] const std::vector<target_id>& recipients() const { return m_recipients; }

    /// @return whether this node has to read now.
    [[nodiscard]] bool must_read(time_point now) const { return m_is_reader || now >= read_due_at(); }

    /// @return when this node has to read unless it hears another's word before then.
    [[nodiscard]] time_point read_due_at() const {
        return m_confirmed_at + m_silence_timeout - (m_is_relay ? relay_lead : duration::zero());
    }

  private:
    target_id m_self;
    data_centre_id m_data_centre;
    duration m_silence_timeout;
    bool m_is_reader = true; ///< Until the others are known.
    bool m_is_relay = false;
    std::optional<target_id> m_reader;
    std::vector<target_id> m_recipients;
    time_point m_confirmed_at{};
};

} // namespace cornelpier
