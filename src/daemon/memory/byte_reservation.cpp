#include "daemon/memory/byte_reservation.hpp"

#include <utility>

namespace cornelpier {

byte_reservation::byte_reservation(std::shared_ptr<byte_budget> budget, held_bytes kind)
    : m_budget(std::move(budget)), m_kind(kind) {}

byte_reservation::~byte_reservation() {
    release();
}

byte_reservation::byte_reservation(byte_reservation&& other) noexcept
    : m_budget(std::move(other.m_budget)), m_kind(other.m_kind), m_size(std::exchange(other.m_size, 0)) {}

byte_reservation& byte_reservation::operator=(byte_reservation&& other) noexcept {
    if (this != &other) {
        release();
        m_budget = std::move(other.m_budget);
        m_kind = other.m_kind;
        m_size = std::exchange(other.m_size, 0);
    }
    return *this;
}

bool byte_reservation::resize(std::size_t size) {
    if (m_budget != nullptr && size > m_size && !m_budget->try_take(m_kind, size - m_size, size)) {
        return false;
    }
    if (m_budget != nullptr && size < m_size) {
        m_budget->give_back(m_kind, m_size - size);
    }
    m_size = size;
    return true;
}

void byte_reservation::force_resize(std::size_t size) {
    if (m_budget != nullptr && size > m_size) {
        m_budget->take(m_kind, size - m_size);
    }
    if (m_budget != nullptr && size < m_size) {
        m_budget->give_back(m_kind, m_size - size);
    }
    m_size = size;
}

} // namespace cornelpier
