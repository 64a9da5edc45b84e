#pragma once

#include "cornelpier/base/units.hpp"

#include <optional>

namespace cornelpier {

/// Overrides for parts of the owner's decisions.
struct owner_options {
    bool adaptive_limit = true; ///< Adapts the concurrency limit; otherwise it is the plan's slots.
    /// Time for the runs in progress after a request to stop. Default: the largest deadline of the plan, but
    /// at least 30 s.
    std::optional<duration> drain_timeout = std::nullopt;
    /// Time after a request to stop during which new runs are still accepted. The server would otherwise be
    /// idle until callers have been told of the stop.
    duration drain_delay{};
};

} // namespace cornelpier
