#include "cornelpier/entry/attempt_text.hpp"

#include "cornelpier/owner/refusal_name.hpp"

#include <array>
#include <string_view>

namespace cornelpier {

namespace {

std::string_view name_of(attempt_phase phase) {
    constexpr std::array<std::string_view, 4> names{"waits_for_link", "in_progress", "asks_for_fate",
                                                    "settled"};
    return names.at(static_cast<std::size_t>(phase));
}

std::string_view name_of(attempt_end end) {
    constexpr std::array<std::string_view, 7> names{"answered", "not_sent",     "lost",    "fate_refused",
                                                    "fate_ran", "fate_unknown", "given_up"};
    return names.at(static_cast<std::size_t>(end));
}

std::string_view status_text(const attempt_state& attempt) {
    if (attempt.phase != attempt_phase::settled) {
        return name_of(attempt.phase);
    }
    return attempt.reason != refusal::none ? refusal_name(attempt.reason) : name_of(attempt.end);
}

} // namespace

std::string describe_attempts(const call_state& call) {
    std::string text;
    for (const auto& it : call.attempts) {
        text += text.empty() ? "" : ", ";
        text += it.target.value() + ' ';
        text += status_text(it);
        text += it.hedge ? " hedge " : " ";
        text += milliseconds_text(it.started_at - call.arrived_at);
        if (it.phase == attempt_phase::settled) {
            text += '-' + milliseconds_text(it.ended_at - call.arrived_at);
        }
    }
    return text;
}

} // namespace cornelpier
