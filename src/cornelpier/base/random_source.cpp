#include "cornelpier/base/random_source.hpp"

#include <bit>
#include <cmath>

namespace cornelpier {

namespace {

std::uint64_t splitmix64(std::uint64_t& state) {
    state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t z = state;
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31U);
}

} // namespace

random_source::random_source(std::uint64_t seed) {
    for (auto& word : m_state) {
        word = splitmix64(seed);
    }
}

std::uint64_t random_source::next() {
    const std::uint64_t value = std::rotl(m_state[1] * 5, 7) * 9;
    const std::uint64_t shifted = m_state[1] << 17U;

    m_state[2] ^= m_state[0];
    m_state[3] ^= m_state[1];
    m_state[1] ^= m_state[2];
    m_state[0] ^= m_state[3];
    m_state[2] ^= shifted;
    m_state[3] = std::rotl(m_state[3], 45);
    return value;
}

std::uint64_t random_source::below(std::uint64_t bound) {
    const std::uint64_t threshold = (0 - bound) % bound;
    while (true) {
        const std::uint64_t value = next();
        if (value >= threshold) {
            return value % bound;
        }
    }
}

double random_source::unit() {
    constexpr double scale = 0x1.0p-53;
    return static_cast<double>(next() >> 11U) * scale;
}

double random_source::exponential(double mean) {
    return -mean * std::log1p(-unit());
}

random_source random_source::split() {
    return random_source{next()};
}

} // namespace cornelpier
