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

/// One line of a scenario: `[at TIME] VERB WORD... NAME=VALUE...`; `#` starts a comment.
struct scenario_command {
    std::size_t line = 0;
    std::optional<time_point> at; ///< Without a time the line sets the fleet up.
    std::string verb;
    std::vector<std::string> arguments;
    std::map<std::string, std::string> options;

    /// @return the word at a position; throws `std::runtime_error` if there is none.
    [[nodiscard]] const std::string& argument(std::size_t position) const;

    /// @return the value of an option, or the default.
    [[nodiscard]] std::string option(const std::string& name, const std::string& fallback = "") const;
};

/// @return the commands in order, or an error that names the line.
result<std::vector<scenario_command>> parse_scenario(std::string_view text);

/// @param text a number with `us`, `ms` or `s`; throws `std::runtime_error` for anything else.
duration parse_duration(const std::string& text);

} // namespace cornelpier::testing
