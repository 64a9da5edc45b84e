#pragma once

#include "cornelpier/entry/call_state.hpp"
#include "cornelpier/entry/entry_context.hpp"

#include <optional>
#include <string>

namespace cornelpier {

/// Composes final answers to callers: status, verdict, request token and Retry-After.
class answer_composer {
  public:
    explicit answer_composer(entry_context& context) : m_context(context) {}

    /// Answers a call that is rejected before it gets a request id.
    /// @param status HTTP status.
    /// @param reason body text, one line.
    /// @param retry_after zero: no Retry-After; otherwise jitter is added, up to twice the value.
    answer_caller reject(call_id call, verdict outcome, int status, const std::string& reason,
                         duration retry_after) const;

    /// Answers a call that is not sent to any target because its request is in quarantine.
    /// @param left rest of the quarantine.
    answer_caller reject_quarantined(const call_state& call, duration left) const;

    /// Answers a call whose last attempt is settled or that could not be sent.
    answer_caller finish(const call_state& call) const;

    /// Answers a call whose deadline has passed.
    answer_caller time_out(const call_state& call) const;

    /// Answers a caller that requested the fate of an earlier request.
    answer_caller fate_answer(call_id call, const std::string& token, fate_outcome outcome) const;

    /// @return the verdict that is reported to the caller.
    static verdict reported_verdict(const call_state& call);

  private:
    answer_caller base_answer(const call_state& call) const;
    /// @return true if there is a response and its status does not imply "not run" without proof.
    [[nodiscard]] bool status_matches_verdict(const std::optional<http_response>& response,
                                              verdict outcome) const;
    duration retry_after(const call_state& call, const attempt_result& last, verdict outcome) const;
    duration add_jitter(duration retry_after) const;

    entry_context& m_context;
};

} // namespace cornelpier
