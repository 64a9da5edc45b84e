#include "cornelpier/admission/spill_reserve.hpp"

#include <algorithm>

namespace cornelpier {

namespace {

/// Slots that stay free, as part of the usual concurrency: the load of a server varies by about as much
/// within a second.
constexpr double reserve_ratio = 0.7;
constexpr double min_reserve = 1;

} // namespace

bool has_room_for_spilled_run(std::size_t at_server, std::size_t queued, std::uint32_t limit,
                              double usual_concurrency) {
    const double reserved = std::max(usual_concurrency * reserve_ratio, min_reserve);
    return queued == 0 && static_cast<double>(at_server) + reserved < limit;
}

} // namespace cornelpier
