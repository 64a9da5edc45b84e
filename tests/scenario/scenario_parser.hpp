#pragma once

#include "cornelpier/base/result.hpp"
#include "cornelpier/base/units.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelpier::testing {

/// Command on one line of a scenario: `[at TIME] VERB ARGUMENT... NAME=VALUE...`; `#` starts a comment.
struct scenario_command {
    std::size_t line = 0;
    std::optional<time_point> at; ///< Commands without a time configure the fleet.
    std::string verb;
    std::vector<std::string> arguments;
    std::map<std::string, std::string> options;

    /// @return the argument at a position; throws `std::runtime_error` if there is none.
    [[nodiscard]] const std::string& argument(std::size_t position) const;

    /// @return the value of an option, or `fallback` if it is not set.
    [[nodiscard]] std::string option(const std::string& name, const std::string& fallback = "") const;
};

/// @return the commands in order, or an error that names the line.
result<std::vector<scenario_command>> parse_scenario(std::string_view text);

/// Parses a number with unit `us`, `ms` or `s`; throws `std::runtime_error` for other units.
duration parse_duration(const std::string& text);

} // namespace cornelpier::testing
