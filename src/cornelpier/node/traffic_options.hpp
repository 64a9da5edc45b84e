#pragma once

#include "cornelpier/entry/entry_options.hpp"
#include "cornelpier/owner/owner_options.hpp"

namespace cornelpier {

/// Policies of entry and owner that replace the default ones, used to compare policies.
struct traffic_options {
    entry_options entry;
    owner_options owner;
};

} // namespace cornelpier
