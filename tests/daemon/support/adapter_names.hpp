#pragma once

#include "daemon/wire/wire_names.hpp"

#include <optional>

namespace cornelpier::test {

/// @return names as an adapter sets them: responses carry ids, seals, refusals and loads, and may end with
/// the connection.
inline wire_names adapter_names() {
    wire_names names;
    names.request_id = "x-id";
    names.response_seal = "x-seal";
    names.not_run = "x-not-run";
    names.load = "x-load";
    names.parse_load = [](std::string_view) { return std::optional{server_load_report{1, 2, 3, 4}}; };
    names.close_delimited_responses = true;
    return names;
}

} // namespace cornelpier::test
