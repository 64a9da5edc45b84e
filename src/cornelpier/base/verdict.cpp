#include "cornelpier/base/verdict.hpp"

namespace cornelpier {

std::string_view to_string(verdict value) {
    switch (value) {
    case verdict::ran:
        return "ran";
    case verdict::not_run:
        return "not-run";
    case verdict::unknown:
        break;
    }
    return "unknown";
}

std::optional<verdict> parse_verdict(std::string_view text) {
    for (const auto it : {verdict::ran, verdict::not_run, verdict::unknown}) {
        if (to_string(it) == text) {
            return it;
        }
    }
    return std::nullopt;
}

} // namespace cornelpier
