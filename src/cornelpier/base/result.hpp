#pragma once

#include <string>
#include <variant>

namespace cornelpier {

/// Error of an operation that does not concern a request's verdict, such as parsing.
struct error {
    std::string place;  ///< JSON pointer, file or address; empty if there is none.
    std::string reason; ///< One sentence without a full stop.
};

/// Either a value or an error.
template <typename T>
using result = std::variant<T, error>;

/// @return true if the result holds a value.
template <typename T>
[[nodiscard]] bool has_value(const result<T>& outcome) {
    return std::holds_alternative<T>(outcome);
}

} // namespace cornelpier
