#include "cornelpier/admission/class_rate_meter.hpp"

#include <chrono>
#include <cmath>
#include <cstddef>

namespace cornelpier {

namespace {

constexpr duration averaging_time = std::chrono::seconds{2};

} // namespace

void class_rate_meter::on_accepted(request_class priority, time_point now) {
    average& value = m_classes.at(static_cast<std::size_t>(priority));
    value = {decayed(value, now) + 1 / to_seconds(averaging_time), now};
}

rate class_rate_meter::more_urgent(request_class priority, time_point now) const {
    rate result;
    for (std::size_t n = 0; n < static_cast<std::size_t>(priority); ++n) {
        result.per_second += decayed(m_classes.at(n), now);
    }
    return result;
}

rate class_rate_meter::total(time_point now) const {
    rate result;
    for (const auto& it : m_classes) {
        result.per_second += decayed(it, now);
    }
    return result;
}

double class_rate_meter::decayed(const average& value, time_point now) {
    return value.per_second * std::exp(-to_seconds(now - value.updated_at) / to_seconds(averaging_time));
}

} // namespace cornelpier
