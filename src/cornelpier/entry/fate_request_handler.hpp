#pragma once

#include "cornelpier/entry/answer_composer.hpp"
#include "cornelpier/entry/entry_context.hpp"
#include "cornelpier/entry/link_set.hpp"
#include "cornelpier/entry/request_token.hpp"

#include <unordered_map>
#include <vector>

namespace cornelpier {

/// Answers callers that request the fate of an earlier request, after querying its owner.
class fate_request_handler {
  public:
    fate_request_handler(entry_context& context, answer_composer& composer, link_set& links);

    void on_fate_requested(const call_fate_requested& event);
    void on_abandoned(call_id call);
    void on_link_ready(const target_id& target);
    void on_link_lost(const target_id& target, link_loss cause);
    void on_hello(const target_id& target, incarnation process);
    void on_fate(const target_id& target, const fate_reply& reply);

    /// @return true if a caller is waiting for the fate of this attempt.
    [[nodiscard]] bool expects(const attempt_id& attempt) const;

    /// @return true if a reply from the owner is outstanding.
    [[nodiscard]] bool awaits_reply(const target_id& target) const;

    /// @return number of callers that wait for an answer.
    [[nodiscard]] std::size_t size() const { return m_pending.size(); }

  private:
    struct pending_request {
        std::string token_text; ///< As received from the caller.
        request_token token;
        timer_service::timer_id timer = 0;
    };

    void query_owner(const request_token& token);
    void answer_one(call_id call, fate_outcome outcome);
    void answer_matching(fate_outcome outcome, const std::function<bool(const request_token&)>& applies);
    [[nodiscard]] std::vector<call_id> pending_for(const target_id& target) const;

    entry_context& m_context;
    answer_composer& m_composer;
    link_set& m_links;
    std::unordered_map<call_id, pending_request> m_pending;
};

} // namespace cornelpier
