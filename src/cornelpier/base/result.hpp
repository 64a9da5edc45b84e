#pragma once

#include <string>
#include <variant>
#include <vector>

namespace cornelpier {

/// Error of an operation that does not concern a request's verdict, such as parsing.
struct error {
    std::string place;  ///< JSON pointer, file or address; empty if there is none.
    std::string reason; ///< One sentence without a full stop.
};

/// Either a value or an error.
template <typename T>
using result = std::variant<T, error>;

/// Either a value or everything that is wrong with it, in the order of the document.
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
