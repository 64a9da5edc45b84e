#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/base/units.hpp"

#include <cstddef>
#include <map>
#include <optional>

namespace cornelpier {

/// Estimates for how long messages of other nodes were delayed, without synchronized clocks. Of the
/// differences between arrival and sending, the smallest one seen lately belongs to a message that met no
/// delay. What exceeds it was spent in a stalled process, a queue or retransmissions.
class transit_delay_estimator {
  public:
    /// Senders of which the smallest difference is remembered; beyond that, the one heard least recently is
    /// forgotten.
    static constexpr std::size_t max_senders = 256;

    /// Time after which a difference is no longer taken into account, so that clocks may drift. Up to twice
    /// as long for the latest ones.
    static constexpr duration window = std::chrono::seconds{30};

    /// Records a datagram.
    /// @param from its sender.
    /// @param process of the sender; a new one starts over.
    /// @param sent_at on the sender's clock.
    /// @param now on the clock of this node.
    /// @return its delay beyond the smallest one; nothing if `sent_at` is not a valid time.
    std::optional<duration> on_datagram(const target_id& from, incarnation process, time_point sent_at,
                                        time_point now);

    /// Estimates the delay of a message on a link. The first message of a sender tells nothing, since a link
    /// delivers it however late it is.
    /// @copydetails on_datagram
    [[nodiscard]] std::optional<duration> delay_on_link(const target_id& from, incarnation process,
                                                        time_point sent_at, time_point now) const;

    /// @return the number of senders that are remembered.
    [[nodiscard]] std::size_t sender_count() const { return m_senders.size(); }

  private:
    struct sender {
        incarnation process;
        duration smallest = duration::max();        ///< In the current window.
        duration smallest_before = duration::max(); ///< In the window before.
        time_point window_began_at;
        time_point last_heard_at;
    };

    void forget_one_if_full();

    std::map<target_id, sender> m_senders;
};

} // namespace cornelpier
