#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>

namespace cornelpier {

/// Strongly typed identifier.
/// @tparam Tag makes the types distinct; never defined.
/// @tparam Value underlying type, `std::string` or an unsigned integer.
template <typename Tag, typename Value>
class strong_id {
  public:
    strong_id() = default;

    explicit strong_id(Value value) : m_value(std::move(value)) {}

    [[nodiscard]] const Value& value() const noexcept { return m_value; }

    friend bool operator==(const strong_id&, const strong_id&) = default;

    /// Not defaulted because clang-tidy 14 reports a defaulted operator as use of a literal null pointer.
    friend auto operator<=>(const strong_id& left, const strong_id& right) {
        return left.m_value <=> right.m_value;
    }

  private:
    Value m_value{};
};

} // namespace cornelpier

/// Hashes the underlying value, for use in unordered containers.
template <typename Tag, typename Value>
struct std::hash<cornelpier::strong_id<Tag, Value>> {
    std::size_t operator()(const cornelpier::strong_id<Tag, Value>& id) const noexcept {
        return std::hash<Value>{}(id.value());
    }
};
