#include "cornelpier/entry/call_table.hpp"

#include <algorithm>

namespace cornelpier {

call_state& call_table::add(const call_arrived& event, time_point now) {
    auto state = std::make_unique<call_state>();
    state->event = event;
    state->sequence = ++m_last_sequence;
    state->arrived_at = now;

    m_sequences.insert_or_assign(event.call, state->sequence);
    return *m_calls.emplace(state->sequence, std::move(state)).first->second;
}

call_state* call_table::find(call_id call) const {
    const auto it = m_sequences.find(call);
    return it == m_sequences.end() ? nullptr : find(request_id{m_process, it->second});
}

call_state* call_table::find(const request_id& request) const {
    const auto it = m_calls.find(request.sequence);
    return request.entry != m_process || it == m_calls.end() ? nullptr : it->second.get();
}

call_state* call_table::find(const attempt_id& attempt) const {
    auto* call = find(attempt.request);
    return call == nullptr || call->find(attempt.number) == nullptr ? nullptr : call;
}

std::vector<call_state*> call_table::all() const {
    std::vector<call_state*> result;
    for (const auto& [sequence, call] : m_calls) {
        result.push_back(call.get());
    }
    std::ranges::sort(result, {}, &call_state::sequence);
    return result;
}

void call_table::remove(const call_state& call) {
    m_sequences.erase(call.event.call);
    m_calls.erase(call.sequence);
}

} // namespace cornelpier
