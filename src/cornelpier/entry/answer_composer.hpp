#pragma once

#include "cornelpier/entry/call_state.hpp"
#include "cornelpier/entry/entry_context.hpp"

#include <optional>
#include <string>

namespace cornelpier {

/// Writes final answers to callers. Decides status, verdict, token and Retry-After, but not when.
class answer_composer {
  public:
    explicit answer_composer(entry_context& context) : m_context(context) {}

    /// Answers a call that was turned away before it was given an identity.
    /// @param status HTTP status.
    /// @param reason body, one short line.
    /// @param retry_after zero for no advice; else spread over up to twice that time.
    answer_caller reject(call_id call, verdict outcome, int status, const std::string& reason,
                         duration retry_after) const;

    /// Answers a call after its last attempt was settled.
    answer_caller finish(const call_state& call) const;

    /// Answers a call whose deadline has come.
    answer_caller time_out(const call_state& call) const;

    /// Answers a caller who asked for the fate of a request.
    answer_caller fate_answer(call_id call, const std::string& token, fate_outcome outcome) const;

    /// @return the verdict that the caller is given now.
    static verdict reported_verdict(const call_state& call);

  private:
    answer_caller base_answer(const call_state& call) const;
    /// @return whether there is a response whose status promises nothing that the outcome does not say.
    [[nodiscard]] bool status_matches_verdict(const std::optional<http_response>& response,
                                              verdict outcome) const;
    duration retry_after(const call_state& call, const attempt_result& last, verdict outcome) const;
    duration add_jitter(duration retry_after) const;

    entry_context& m_context;
};

} // namespace cornelpier
