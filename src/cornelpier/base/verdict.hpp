#pragma once

#include <optional>
#include <string_view>

namespace cornelpier {

/// Says whether a request may have run.
enum class verdict {
    ran,     ///< The server executed the request.
    not_run, ///< The request did not run and never will; said only with proof.
    unknown, ///< Neither can be proved.
};

/// @return the value of the `Cornelpier-Verdict` header: `ran`, `not-run` or `unknown`.
std::string_view to_string(verdict value);

/// @param text value of a `Cornelpier-Verdict` header.
/// @return the verdict, or nothing if the text is none of the three.
std::optional<verdict> parse_verdict(std::string_view text);

} // namespace cornelpier
