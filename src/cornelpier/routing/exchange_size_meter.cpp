#include "cornelpier/routing/exchange_size_meter.hpp"

namespace cornelpier {

namespace {

constexpr double smoothing = 0.1;

} // namespace

void exchange_size_meter::add(std::size_t bytes) {
    const auto value = static_cast<double>(bytes);
    m_bytes = m_has_samples ? m_bytes + (value - m_bytes) * smoothing : value;
    m_has_samples = true;
}

} // namespace cornelpier
