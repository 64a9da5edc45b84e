#pragma once

#include "cornelpier/entry/call_state.hpp"

#include <memory>
#include <unordered_map>
#include <vector>

namespace cornelpier {

/// Calls in progress, indexed by call id and by request id.
class call_table {
  public:
    /// @param process incarnation of this process; part of every request id.
    explicit call_table(incarnation process) : m_process(process) {}

    /// Adds a call and assigns its request id.
    call_state& add(const call_arrived& event, time_point now);

    /// @return the call, or nullptr.
    [[nodiscard]] call_state* find(call_id call) const;

    /// @return the call with this request id, or nullptr.
    [[nodiscard]] call_state* find(const request_id& request) const;

    /// @return the call that made the attempt, or nullptr.
    [[nodiscard]] call_state* find(const attempt_id& attempt) const;

    /// @return all calls in order of arrival.
    [[nodiscard]] std::vector<call_state*> all() const;

    void remove(const call_state& call);

    [[nodiscard]] std::size_t size() const { return m_calls.size(); }

    [[nodiscard]] request_id id_of(const call_state& call) const { return {m_process, call.sequence}; }

  private:
    incarnation m_process;
    std::uint64_t m_last_sequence = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<call_state>> m_calls;
    std::unordered_map<call_id, std::uint64_t> m_sequences;
};

} // namespace cornelpier
