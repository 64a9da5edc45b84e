#pragma once

#include "cornelpier/owner/owner_state.hpp"

namespace cornelpier {

/// Answers fate queries from the run table and the attempt ledger.
class fate_responder {
  public:
    /// @param state must outlive the object.
    explicit fate_responder(owner_state& state) : m_state(state) {}

    void on_query(link_id link, const fate_query& query);

  private:
    void reply_from_record(link_id link, const fate_query& query, const stored_answer& stored);
    [[nodiscard]] fate_outcome outcome_without_record(const fate_query& query);
    void reply(link_id link, const fate_query& query, fate_outcome outcome);

    owner_state& m_state;
};

} // namespace cornelpier
