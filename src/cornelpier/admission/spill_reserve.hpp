#pragma once

#include <cstddef>
#include <cstdint>

namespace cornelpier {

/// Admits runs that another data centre could not place itself, only while the server has room to spare: the
/// callers of its own data centre come first.
/// @param at_server runs at the server.
/// @param queued runs that wait for a slot.
/// @param limit concurrency limit of the server.
/// @param usual_concurrency average number of runs at the server.
/// @return whether such a run may start now.
bool has_room_for_spilled_run(std::size_t at_server, std::size_t queued, std::uint32_t limit,
                              double usual_concurrency);

} // namespace cornelpier
