#include "cornelpier/owner/refusal_name.hpp"

#include <array>
#include <cstddef>

namespace cornelpier {

std::string_view refusal_name(refusal reason) {
    constexpr std::array<std::string_view, 20> names{
        "none",      "wait_limit",      "overloaded",   "deadline",       "draining",
        "no_permit", "ledger_full",     "duplicate",    "server_refused", "server_down",
        "cancelled", "unknown_service", "key_conflict", "key_unproved",   "key_running",
        "not_home",  "rate_limited",    "quarantined",  "suspected",      "evacuated"};
    return names.at(static_cast<std::size_t>(reason));
}

} // namespace cornelpier
