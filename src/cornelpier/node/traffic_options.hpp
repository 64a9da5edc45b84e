#pragma once

#include "cornelpier/entry/entry_options.hpp"
#include "cornelpier/owner/owner_options.hpp"

namespace cornelpier {

/// Replaces parts of a node's decisions, for comparisons between policies.
struct traffic_options {
    entry_options entry;
    owner_options owner;
};

} // namespace cornelpier
