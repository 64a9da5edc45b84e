#pragma once

#include "cornelpier/entry/entry_options.hpp"

namespace cornelpier {

/// Replaces parts of a node's decisions, for comparisons between policies.
struct traffic_options {
    entry_options entry;
    bool adaptive_limit = true; ///< Owners adapt their concurrency limit; otherwise it is the plan's slots.
};

} // namespace cornelpier
