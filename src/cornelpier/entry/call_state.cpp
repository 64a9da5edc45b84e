#include "cornelpier/entry/call_state.hpp"

#include <algorithm>

namespace cornelpier {

namespace {

/// An attempt that was never sent counts as proved not run.
verdict outcome_of(const attempt_state& attempt) {
    if (attempt.phase == attempt_phase::waiting) {
        return verdict::not_run;
    }
    return attempt.phase == attempt_phase::settled ? attempt.outcome : verdict::unknown;
}

} // namespace

attempt_state* call_state::find(std::uint32_t number) {
    const auto it = std::ranges::find(attempts, number, [](const attempt_state& a) { return a.id.number; });
    return it == attempts.end() ? nullptr : &*it;
}

std::uint32_t call_state::possible_runs() const {
    return static_cast<std::uint32_t>(std::ranges::count_if(attempts, &attempt_state::may_have_run));
}

bool call_state::has_open_attempt() const {
    return std::ranges::any_of(attempts,
                               [](const attempt_state& it) { return it.phase != attempt_phase::settled; });
}

verdict call_state::outcome() const {
    if (std::ranges::find(attempts, verdict::ran, outcome_of) != attempts.end()) {
        return verdict::ran;
    }
    const auto proved = [](const attempt_state& it) { return outcome_of(it) == verdict::not_run; };
    return std::ranges::all_of(attempts, proved) ? verdict::not_run : verdict::unknown;
}

const attempt_state* call_state::token_attempt() const {
    const auto unproved = [](const attempt_state& it) { return outcome_of(it) != verdict::not_run; };
    const auto it = std::find_if(attempts.rbegin(), attempts.rend(), unproved);
    if (it != attempts.rend()) {
        return &*it;
    }
    return attempts.empty() ? nullptr : &attempts.back();
}

} // namespace cornelpier
