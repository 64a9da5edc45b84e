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
    /// A node that heard no reader for so long reads for itself. Two intervals between words, so that one of
    /// them may be lost, and well below the 2 s within which changes must be taken up.
    static constexpr duration silence_limit = std::chrono::milliseconds{1300};

    /// Data centres of at least this many nodes have a second reader.
    static constexpr std::size_t size_for_two = 6;

    /// @param self name of the own node.
    explicit reader_roles(target_id self) : m_self(std::move(self)) {}

    /// Takes the nodes of the own data centre.
    /// @param group its name; nodes of different groups choose independently.
    void set_members(const data_centre_id& group, std::vector<target_id> members);

    /// Notes a word of a reader.
    void on_word(time_point now) { m_word_at = now; }

    /// @return whether this node reads for the others too.
    [[nodiscard]] bool is_reader() const { return m_reader; }

    /// @return whether this node has to read now.
    [[nodiscard]] bool must_read(time_point now) const { return m_reader || now >= reads_at(); }

    /// @return when this node has to read unless it hears a reader before.
    [[nodiscard]] time_point reads_at() const { return m_word_at + silence_limit; }

  private:
    target_id m_self;
    bool m_reader = true; ///< Until the others are known.
    time_point m_word_at{};
};

} // namespace cornelpier
