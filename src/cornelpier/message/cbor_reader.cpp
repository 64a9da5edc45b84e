#include "cornelpier/message/cbor_reader.hpp"

#include "cornelpier/validation/nesting.hpp"

#include <nlohmann/json.hpp>

namespace cornelpier {

nlohmann::json read_cbor(std::string_view bytes) {
    using nlohmann::json;
    if (is_cbor_too_deep(bytes)) {
        json nothing = json::value_t::discarded;
        return nothing;
    }
    try {
        return json::from_cbor(bytes.begin(), bytes.end(), true, false);
    } catch (const json::out_of_range&) {
        // nlohmann::json throws for a length that exceeds the address space even with exceptions disabled.
        json nothing = json::value_t::discarded;
        return nothing;
    }
}

} // namespace cornelpier
