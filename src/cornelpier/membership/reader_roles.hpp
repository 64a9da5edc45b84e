#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/base/units.hpp"

#include <cstddef>
#include <vector>

namespace cornelpier {

/// Decides which nodes of a data centre read the platform's service and tell the others, from a list that all
/// of them know. Every node can read for itself: one that hears nothing for a while does so, and no change
/// waits for a reader that is gone.
class reader_roles {
  public:
    /// Data centres of at least this many nodes have a second reader.
    static constexpr std::size_t size_for_two = 6;

    /// @param self name of the own node.
    /// @param silence_limit time after which a node that heard no reader reads for itself: longer than the
    /// interval between words, and below the time within which changes must be taken up.
    reader_roles(target_id self, duration silence_limit)
        : m_self(std::move(self)), m_silence_limit(silence_limit) {}

    /// Takes the nodes of the own data centre.
    /// @param group its name; nodes of different groups choose independently.
    void set_members(const data_centre_id& group, std::vector<target_id> members);

    /// Notes that this node knew everything, by a reader's word or by its own reading.
    void on_confirmed(time_point now) { m_confirmed_at = now; }

    /// @return when it last knew everything.
    [[nodiscard]] time_point confirmed_at() const { return m_confirmed_at; }

    /// @return whether this node reads for the others too.
    [[nodiscard]] bool is_reader() const { return m_reader; }

    /// @return whether this node has to read now.
    [[nodiscard]] bool must_read(time_point now) const { return m_reader || now >= reads_at(); }

    /// @return when this node has to read unless it hears a reader before then.
    [[nodiscard]] time_point reads_at() const { return m_confirmed_at + m_silence_limit; }

  private:
    target_id m_self;
    duration m_silence_limit;
    bool m_reader = true; ///< Until the others are known.
    time_point m_confirmed_at{};
};

} // namespace cornelpier
