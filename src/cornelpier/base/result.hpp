#pragma once

#include <string>
#include <variant>
#include <vector>

namespace cornelpier {

/// Error of an operation such as parsing, unrelated to the verdict on a request.
struct error {
    std::string place;  ///< JSON pointer, position, file or address; empty if unknown.
    std::string reason; ///< One sentence without a full stop.
};

/// A value or an error.
template <typename T>
using result = std::variant<T, error>;

/// A value or all errors found in it, in document order.
template <typename T>
using checked_result = std::variant<T, std::vector<error>>;

/// @return true if the result holds a value.
template <typename T>
[[nodiscard]] bool has_value(const result<T>& outcome) {
    return std::holds_alternative<T>(outcome);
}

/// @copydoc has_value(const result<T>&)
template <typename T>
[[nodiscard]] bool has_value(const checked_result<T>& outcome) {
    return std::holds_alternative<T>(outcome);
}

} // namespace cornelpier
