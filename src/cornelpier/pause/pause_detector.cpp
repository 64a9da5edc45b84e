#include "cornelpier/pause/pause_detector.hpp"

#include <algorithm>

namespace cornelpier {

std::optional<duration> pause_detector::tick(duration monotonic, duration boot) {
    const clock_readings last = m_last.value_or(clock_readings{monotonic, boot});
    m_last = clock_readings{monotonic, boot};

    const duration gap = std::max(monotonic - last.monotonic, boot - last.boot);
    if (gap <= pause_threshold) {
        return std::nullopt;
    }
    return gap;
}

} // namespace cornelpier
