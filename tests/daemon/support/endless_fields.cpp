#include "tests/daemon/support/endless_fields.hpp"

#include <cstddef>
#include <string_view>
#include <utility>

namespace cornelpier::test {

namespace {

constexpr std::string_view field = "X-A: b\r\n";
constexpr std::size_t read_part = 2; ///< Bytes of a field that the reads end behind.
constexpr std::size_t block_size = std::size_t{64} * 1024;

} // namespace

endless_fields make_endless_fields(std::string start) {
    while (start.size() % field.size() != field.size() - read_part) {
        start.insert(start.size() - 2, " ");
    }
    std::string fields;
    while (fields.size() < block_size) {
        fields += field;
    }
    const std::string repeated_bytes = fields.substr(read_part) + std::string{field.substr(0, read_part)};
    return {std::move(start) + fields + std::string{field.substr(0, read_part)}, repeated_bytes};
}

} // namespace cornelpier::test
