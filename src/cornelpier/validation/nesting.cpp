#include "cornelpier/validation/nesting.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

namespace cornelpier {

namespace {

/// Walks over CBOR items without recursion.
class cbor_walker {
  public:
    explicit cbor_walker(std::string_view bytes) : m_bytes(bytes) {}

    /// @return whether the walk met an item that is nested too deep.
    bool finds_deep_item() {
        while (read_item()) {
            if (m_open.size() > max_nesting) {
                return true;
            }
            if (m_open.empty()) {
                return false;
            }
        }
        return false;
    }

  private:
    /// Items left in an open array or map; a map counts keys and values. Unbounded until its end mark.
    static constexpr std::uint64_t unbounded = std::numeric_limits<std::uint64_t>::max();

    static constexpr std::uint8_t major_bytes = 2;
    static constexpr std::uint8_t major_text = 3;
    static constexpr std::uint8_t major_array = 4;
    static constexpr std::uint8_t major_map = 5;
    static constexpr std::uint8_t indefinite = 31;
    static constexpr std::uint8_t end_mark = 0xff;

    /// Reads the head of an item and skips its content, unless the content is further items.
    /// @return false at the end of the input and at a malformed byte.
    bool read_item() {
        if (m_at >= m_bytes.size()) {
            return false;
        }
        const auto first = static_cast<std::uint8_t>(m_bytes[m_at++]);
        if (first == end_mark) {
            return close_unbounded();
        }
        const auto major = static_cast<std::uint8_t>(first >> 5U);
        const auto info = static_cast<std::uint8_t>(first & 31U);
        const bool is_container = major == major_array || major == major_map;
        const bool is_string = major == major_bytes || major == major_text;
        if (info == indefinite) {
            if (is_container || is_string) {
                m_open.push_back(unbounded);
            }
            return is_container || is_string;
        }
        const auto argument = read_argument(info);
        if (!argument) {
            return false;
        }
        if (is_container) {
            const std::uint64_t count =
                major == major_map ? 2 * std::min(*argument, unbounded / 4) : *argument;
            if (count > 0) {
                m_open.push_back(count);
                return true;
            }
        }
        if (is_string) {
            if (*argument > m_bytes.size() - m_at) {
                return false;
            }
            m_at += *argument;
        }
        end_item();
        return true;
    }

    /// @return the argument of an item's head, or nothing if it is cut off or invalid.
    std::optional<std::uint64_t> read_argument(std::uint8_t info) {
        constexpr std::uint8_t first_long = 24;
        constexpr std::uint8_t last_long = 27;
        if (info < first_long) {
            return info;
        }
        const std::size_t length = info > last_long ? 0 : std::size_t{1} << (info - first_long);
        if (length == 0 || length > m_bytes.size() - m_at) {
            return std::nullopt;
        }
        std::uint64_t result = 0;
        for (std::size_t n = 0; n < length; ++n) {
            result = result << 8U | static_cast<std::uint8_t>(m_bytes[m_at++]);
        }
        return result;
    }

    bool close_unbounded() {
        if (m_open.empty() || m_open.back() != unbounded) {
            return false;
        }
        m_open.pop_back();
        end_item();
        return true;
    }

    /// Closes the containers that the item that has just ended completes.
    void end_item() {
        while (!m_open.empty() && m_open.back() != unbounded && --m_open.back() == 0) {
            m_open.pop_back();
        }
    }

    std::string_view m_bytes;
    std::size_t m_at = 0;
    std::vector<std::uint64_t> m_open;
};

} // namespace

bool is_json_too_deep(std::string_view text) {
    std::size_t depth = 0;
    bool in_string = false;
    for (std::size_t n = 0; n < text.size(); ++n) {
        const char c = text[n];
        if (in_string) {
            n += c == '\\' ? 1 : 0;
            in_string = c != '"';
            continue;
        }
        if (c == '"') {
            in_string = true;
        } else if (c == '[' || c == '{') {
            if (++depth > max_nesting) {
                return true;
            }
        } else if ((c == ']' || c == '}') && depth > 0) {
            --depth;
        }
    }
    return false;
}

bool is_cbor_too_deep(std::string_view bytes) {
    return cbor_walker{bytes}.finds_deep_item();
}

} // namespace cornelpier
