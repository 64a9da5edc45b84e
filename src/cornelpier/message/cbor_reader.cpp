#include "cornelpier/message/cbor_reader.hpp"

#include "cornelpier/validation/nesting.hpp"

#include <nlohmann/json.hpp>

namespace cornelpier {

nlohmann::json read_cbor(std::string_view bytes) {
    using nlohmann::json;
    json result = json::value_t::discarded;
    if (is_cbor_too_deep(bytes)) {
        return result;
    }
    try {
        result = json::from_cbor(bytes.begin(), bytes.end(), true, false);
    } catch (const json::out_of_range&) {
        // nlohmann::json throws for a length that exceeds the address space even with exceptions disabled.
    }
    return result;
}

} // namespace cornelpier
