#include "cornelpier/pause/pause_detector.hpp"

#include <algorithm>

namespace cornelpier {

std::optional<duration> pause_detector::tick(duration monotonic, duration boot) {
    const clocks last = m_last.value_or(clocks{monotonic, boot});
    m_last = clocks{monotonic, boot};

    const duration gap = std::max(monotonic - last.monotonic, boot - last.boot);
    if (gap <= pause_threshold) {
        return std::nullopt;
    }
    return gap;
}

} // namespace cornelpier
