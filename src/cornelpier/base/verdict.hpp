#pragma once

#include <optional>
#include <string_view>

namespace cornelpier {

/// Whether a request was executed, as far as it can be proved.
enum class verdict {
    ran,     ///< The server executed the request.
    not_run, ///< The request did not run and will never run; given only with proof.
    unknown, ///< Neither of the two can be proved.
};

/// @return the value for the `Cornelpier-Verdict` header: `ran`, `not-run` or `unknown`.
std::string_view to_string(verdict value);

/// Parses the value of a `Cornelpier-Verdict` header.
/// @return the verdict, or nothing for any other text.
std::optional<verdict> parse_verdict(std::string_view text);

} // namespace cornelpier
