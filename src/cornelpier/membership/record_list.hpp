#pragma once

#include "cornelpier/message/control_messages.hpp"

#include <cstddef>
#include <utility>
#include <vector>

namespace cornelpier {

/// Records of one gossip message, limited to the size of a datagram.
class record_list {
  public:
    static constexpr std::size_t max_datagram_bytes = 1400;

    /// @param sender sender of the message, whose name is part of the datagram.
    explicit record_list(const target_id& sender)
        : m_remaining_bytes(max_datagram_bytes - max_header_bytes - sender.value().size()) {
        m_records.reserve(typical_record_count);
    }

    /// Adds a record if it fits.
    /// @return false if it does not fit.
    bool add(const member_record& record) {
        const std::size_t size = encoded_size(record);
        if (size > m_remaining_bytes) {
            return false;
        }
        m_remaining_bytes -= size;
        m_records.push_back(record);
        return true;
    }

    /// @return the records; the list is empty afterwards.
    std::vector<member_record> take() { return std::move(m_records); }

  private:
    static constexpr std::size_t typical_record_count = 40;

    /// Upper bound of the encoded message without records and without the sender's name.
    static constexpr std::size_t max_header_bytes = 64;

    /// @return encoded size of an unsigned integer in CBOR, in bytes.
    static constexpr std::size_t integer_size(std::uint64_t value) {
        if (value < 24) {
            return 1;
        }
        if (value < 0x100) {
            return 2;
        }
        if (value < 0x10000) {
            return 3;
        }
        return value < 0x100000000 ? 5 : 9;
    }

    static std::size_t encoded_size(const member_record& record) {
        constexpr std::size_t fixed_bytes = 3;
        const std::size_t length = record.target.value().size();
        return fixed_bytes + integer_size(length) + length + integer_size(record.process.value()) +
               integer_size(static_cast<std::uint64_t>(record.age.count())) +
               integer_size(static_cast<std::uint64_t>(record.vm_age.count()));
    }

    std::size_t m_remaining_bytes;
    std::vector<member_record> m_records;
};

} // namespace cornelpier
