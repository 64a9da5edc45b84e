#pragma once

#include "cornelpier/owner/owner_state.hpp"
#include "cornelpier/owner/run_executor.hpp"

#include <string>

namespace cornelpier {

/// Admission control for arriving runs. Answers duplicates and repeated keys from the ledgers, and refuses or
/// accepts all other runs at once.
class run_admission {
  public:
    /// @param state must outlive the object.
    /// @param executor must outlive the object.
    run_admission(owner_state& state, run_executor& executor) : m_state(state), m_executor(executor) {}

    void on_run(link_id link, const run_request& message);

  private:
    void admit(link_id link, const run_request& message);
    [[nodiscard]] bool is_idempotent_only_in_older_plan(const run_request& message) const;

    bool answer_duplicate(link_id link, const run_request& message);
    bool answer_by_key(link_id link, const run_request& message, const std::string& key);
    bool answer_recorded_key(link_id link, const run_request& message, const std::string& key);

    [[nodiscard]] refusal check_run(const run_request& message) const;
    [[nodiscard]] refusal check_load(const run_request& message) const;
    [[nodiscard]] refusal check_route_load(const run_request& message, duration left) const;
    /// Hashes the request if any request is suspected.
    [[nodiscard]] suspicion level_of(const run_request& message) const;
    [[nodiscard]] bool needs_record(const run_request& message) const;
    [[nodiscard]] duration time_left(const run_request& message) const;

    bool open_records(const run_request& message, const std::optional<std::string>& key);
    void refuse(link_id link, const run_request& message, refusal reason);

    owner_state& m_state;
    run_executor& m_executor;
};

} // namespace cornelpier
