#pragma once

#include "cornelpier/base/units.hpp"

#include <optional>

namespace cornelpier {

/// Replaces parts of the owner's decisions.
struct owner_options {
    bool adaptive_limit = true; ///< The concurrency limit is adapted; otherwise it is the plan's slots.
    /// Time that a node which was asked to stop has for its runs; nothing: the largest deadline of the plan.
    std::optional<duration> drain_timeout = std::nullopt;
    /// Time after a request to stop during which new runs are still taken: callers have to be told first, and
    /// until then the server would stand idle.
    duration drain_delay{};
};

} // namespace cornelpier
