#include "cornelpier/entry/answer_composer.hpp"

#include "cornelpier/entry/request_token.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <string_view>

namespace cornelpier {

namespace {

constexpr duration default_retry_after = std::chrono::seconds{1};
constexpr duration min_retry_after = std::chrono::milliseconds{100};

constexpr int status_ok = 200;
constexpr int status_conflict = 409;
constexpr int status_unprocessable = 422;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

constexpr std::string_view quarantine_text = "servers ended while they ran such a request";

http_response text_response(int status, std::string_view text) {
    return {status, {{"content-type", "text/plain"}}, make_body(std::string{text} + '\n')};
}

std::string_view describe(const attempt_result& result) {
    if (result.outcome == verdict::ran) {
        return "the request ran, but its response is no longer available";
    }
    switch (result.reason) {
    case refusal::none:
        return result.end == attempt_end::not_sent ? "no target could be reached"
                                                   : "the target gave no complete answer";
    case refusal::draining:
        return "the target is draining";
    case refusal::evacuated:
        return "the data centre of the target is evacuated";
    case refusal::deadline:
        return "the deadline cannot be met";
    case refusal::key_conflict:
        return "the idempotency key was used with another request";
    case refusal::key_unproved:
        return "it cannot be proved that the idempotency key is new";
    case refusal::key_running:
        return "the first request with this idempotency key is still running";
    case refusal::quarantined:
        return quarantine_text;
    case refusal::server_refused:
    case refusal::server_down:
        return "the server does not accept requests";
    default:
        return "the service is overloaded";
    }
}

/// Status of an answer that does not forward a response of the server.
int status_for(const attempt_result& result, verdict outcome, bool status_implies_not_run) {
    if (status_implies_not_run) {
        return outcome == verdict::not_run ? status_unavailable : status_bad_gateway;
    }
    if (result.reason == refusal::key_conflict) {
        return status_unprocessable;
    }
    if (result.reason == refusal::key_running || outcome == verdict::ran) {
        return status_conflict;
    }
    const bool is_temporary = result.reason != refusal::none || result.end == attempt_end::not_sent;
    if (outcome == verdict::not_run || is_temporary) {
        return status_unavailable;
    }
    return status_bad_gateway;
}

/// Callers take these statuses as proof that the request has not run and never will.
bool implies_not_run(int status) {
    constexpr std::array statuses{408, 421, 429, status_unavailable};
    return std::ranges::find(statuses, status) != statuses.end();
}

std::string_view text_for(fate_outcome outcome) {
    switch (outcome) {
    case fate_outcome::ran:
        return "ran";
    case fate_outcome::refused:
        return "not-run";
    case fate_outcome::running:
        return "running";
    case fate_outcome::unknown:
        break;
    }
    return "unknown";
}

verdict verdict_for(fate_outcome outcome) {
    if (outcome == fate_outcome::ran) {
        return verdict::ran;
    }
    return outcome == fate_outcome::refused ? verdict::not_run : verdict::unknown;
}

} // namespace

answer_caller answer_composer::reject(call_id call, verdict outcome, int status, const std::string& reason,
                                      duration retry_after) const {
    answer_caller result{call, text_response(status, reason), outcome, {}, {}, m_context.draining};
    result.retry_after = add_jitter(retry_after);
    return result;
}

answer_caller answer_composer::reject_quarantined(const call_state& call, duration left) const {
    auto result = base_answer(call);
    // Without a reply of the key's home, an earlier request with the same key may have run.
    result.outcome = call.is_keyed() ? verdict::unknown : verdict::not_run;
    attempt_result rejection;
    rejection.reason = refusal::quarantined;
    result.response = text_response(
        status_for(rejection, result.outcome, m_context.options.status_implies_not_run), quarantine_text);
    result.retry_after = add_jitter(left);
    return result;
}

answer_caller answer_composer::finish(const call_state& call) const {
    if (!call.last_result) {
        auto result = base_answer(call);
        // Without a reply of the key's home, an earlier request with the same key may have run.
        result.outcome = call.is_keyed() ? verdict::unknown : verdict::not_run;
        attempt_result none;
        none.end = attempt_end::not_sent;
        result.response =
            text_response(status_for(none, result.outcome, m_context.options.status_implies_not_run),
                          "no target is available");
        result.retry_after = add_jitter(default_retry_after);
        return result;
    }

    const attempt_result& last = *call.last_result;
    auto result = base_answer(call);
    const bool may_forward = !m_context.options.status_implies_not_run || last.outcome != verdict::not_run;
    if (may_forward && status_matches_verdict(last.response, result.outcome)) {
        result.response = *last.response;
    } else if (result.outcome == verdict::unknown &&
               status_matches_verdict(call.failure_response, result.outcome)) {
        result.response = *call.failure_response;
    } else {
        result.response = text_response(
            status_for(last, result.outcome, m_context.options.status_implies_not_run), describe(last));
    }

    result.retry_after = retry_after(call, last, result.outcome);
    return result;
}

/// A server's status that implies "not run" is forwarded only if the request is proved not run.
bool answer_composer::status_matches_verdict(const std::optional<http_response>& response,
                                             verdict outcome) const {
    if (!response) {
        return false;
    }
    const bool may_imply_not_run = !m_context.options.status_implies_not_run || outcome == verdict::not_run;
    return may_imply_not_run || !implies_not_run(response->status);
}

/// Callers are not asked to repeat a request that may have run, unless it is idempotent or has a key. The
/// owner's retry time for keys is exact, so it gets no jitter.
duration answer_composer::retry_after(const call_state& call, const attempt_result& last,
                                      verdict outcome) const {
    if (outcome == verdict::ran || last.reason == refusal::key_conflict) {
        return duration::zero();
    }
    if (!call.route.empty()) {
        // The earliest free slot that an owner expects: the caller can still retry within the objective. An
        // evacuation gives none and lasts longer.
        const duration expected = last.reason == refusal::evacuated ? default_retry_after : last.retry_after;
        return outcome == verdict::not_run || call.idempotent
                   ? add_jitter(std::max(call.earliest_retry.value_or(expected), min_retry_after))
                   : duration::zero();
    }
    if (outcome == verdict::not_run) {
        return add_jitter(std::max(last.retry_after, default_retry_after));
    }
    const bool may_repeat = call.idempotent || call.is_keyed();
    return may_repeat && last.retry_after == duration::zero() ? add_jitter(default_retry_after)
                                                              : last.retry_after;
}

answer_caller answer_composer::time_out(const call_state& call) const {
    auto result = base_answer(call);
    const bool answers_not_run =
        m_context.options.status_implies_not_run && result.outcome == verdict::not_run;
    const int status = answers_not_run ? status_unavailable : status_gateway_timeout;
    const bool has_failure =
        result.outcome == verdict::unknown && status_matches_verdict(call.failure_response, result.outcome);
    result.response = has_failure ? *call.failure_response : text_response(status, "the deadline has passed");
    if (result.outcome == verdict::not_run) {
        result.retry_after = add_jitter(default_retry_after);
    }
    return result;
}

answer_caller answer_composer::fate_answer(call_id call, const std::string& token,
                                           fate_outcome outcome) const {
    return {call,
            text_response(status_ok, text_for(outcome)),
            verdict_for(outcome),
            token,
            {},
            m_context.draining};
}

/// An idempotency key may have been used before. Without a reply from the home target, an earlier request
/// with the same key may have run.
verdict answer_composer::reported_verdict(const call_state& call) {
    const verdict outcome = call.outcome();
    const bool home_replied = call.last_result && (call.last_result->end == attempt_end::answered ||
                                                   call.last_result->end == attempt_end::fate_refused);
    if (outcome == verdict::not_run && call.is_keyed() && !call.attempts.empty() && !home_replied) {
        return verdict::unknown;
    }
    return outcome;
}

answer_caller answer_composer::base_answer(const call_state& call) const {
    answer_caller result;
    result.call = call.event.call;
    result.outcome = reported_verdict(call);
    result.close = m_context.draining;
    if (const auto* attempt = call.token_attempt()) {
        result.token = to_string(request_token{attempt->target, attempt->owner_incarnation, attempt->id});
    }
    return result;
}

/// Callers that were rejected at the same time must not retry at the same time.
duration answer_composer::add_jitter(duration retry_after) const {
    return from_seconds(to_seconds(retry_after) * (1 + m_context.random.unit()));
}

} // namespace cornelpier
