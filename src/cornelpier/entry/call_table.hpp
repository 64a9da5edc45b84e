#pragma once

#include "cornelpier/entry/call_state.hpp"

#include <memory>
#include <unordered_map>
#include <vector>

namespace cornelpier {

/// Calls in progress, by the caller's exchange and by request.
class call_table {
  public:
    /// @param process incarnation of this node; part of every request id.
    explicit call_table(incarnation process) : m_process(process) {}

    /// Adds a call and gives its request an identity.
    call_state& add(const call_arrived& event, time_point now);

    /// @return the call, or nullptr.
    [[nodiscard]] call_state* find(call_id call) const;

    /// @return the call that a request id names, or nullptr.
    [[nodiscard]] call_state* find(const request_id& request) const;

    /// @return the call of the attempt if it has such an attempt, else nullptr.
    [[nodiscard]] call_state* find(const attempt_id& attempt) const;

    /// @return all calls, in the order of their arrival.
    [[nodiscard]] std::vector<call_state*> all() const;

    void remove(const call_state& call);

    [[nodiscard]] std::size_t size() const { return m_calls.size(); }

    /// @return the request id of a call.
    [[nodiscard]] request_id id_of(const call_state& call) const { return {m_process, call.sequence}; }

  private:
    incarnation m_process;
    std::uint64_t m_last_sequence = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<call_state>> m_calls;
    std::unordered_map<call_id, std::uint64_t> m_sequences;
};

} // namespace cornelpier
