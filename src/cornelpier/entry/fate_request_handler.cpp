#include "cornelpier/entry/fate_request_handler.hpp"

#include <algorithm>
#include <chrono>

namespace cornelpier {

namespace {

constexpr duration owner_reply_timeout = std::chrono::seconds{1};
constexpr int status_bad_request = 400;

// The token does not contain the expiry time of the run's permit. With a permit that expired long ago, the
// owner answers from its records only and never records the attempt as refused.
constexpr time_point expired_long_ago{-std::chrono::hours{24}};

} // namespace

fate_request_handler::fate_request_handler(entry_context& context, answer_composer& composer, link_set& links)
    : m_context(context), m_composer(composer), m_links(links) {}

void fate_request_handler::on_fate_requested(const call_fate_requested& event) {
    const auto token = parse_request_token(event.token);
    if (!token) {
        m_context.emit(
            m_composer.reject(event.call, verdict::not_run, status_bad_request, "malformed token", {}));
        return;
    }
    const auto* owner = m_context.find_target(token->owner);
    if (owner == nullptr || token->owner_incarnation == incarnation{}) {
        m_context.emit(m_composer.fate_answer(event.call, event.token, fate_outcome::unknown));
        return;
    }

    const auto timer = m_context.timers.call_after(
        owner_reply_timeout, [this, call = event.call] { answer_one(call, fate_outcome::unknown); });
    m_pending.insert_or_assign(event.call, pending_request{event.token, *token, timer});
    m_links.open(owner->id, owner->node_address);
    query_owner(*token);
}

void fate_request_handler::on_abandoned(call_id call) {
    const auto it = m_pending.find(call);
    if (it != m_pending.end()) {
        m_context.timers.cancel(it->second.timer);
        m_pending.erase(it);
    }
}

void fate_request_handler::on_link_ready(const target_id& target) {
    for (const auto call : pending_for(target)) {
        query_owner(m_pending.at(call).token);
    }
}

void fate_request_handler::on_link_lost(const target_id& target, link_loss cause) {
    if (cause == link_loss::unreachable) {
        answer_matching(fate_outcome::unknown, [&](const request_token& it) { return it.owner == target; });
        return;
    }
    const auto* planned = m_context.find_target(target);
    if (planned != nullptr && !pending_for(target).empty()) {
        m_links.open(target, planned->node_address);
    }
}

void fate_request_handler::on_hello(const target_id& target, incarnation process) {
    answer_matching(fate_outcome::unknown, [&](const request_token& it) {
        return it.owner == target && it.owner_incarnation != process;
    });
}

void fate_request_handler::on_fate(const target_id& target, const fate_reply& reply) {
    answer_matching(reply.outcome, [&](const request_token& it) {
        return it.owner == target && it.attempt == reply.attempt;
    });
}

bool fate_request_handler::expects(const attempt_id& attempt) const {
    return std::ranges::any_of(m_pending, [&](const auto& it) { return it.second.token.attempt == attempt; });
}

bool fate_request_handler::awaits_reply(const target_id& target) const {
    return std::ranges::any_of(m_pending, [&](const auto& it) { return it.second.token.owner == target; });
}

void fate_request_handler::query_owner(const request_token& token) {
    m_links.send(token.owner,
                 fate_query{token.attempt, run_permit{token.owner_incarnation, expired_long_ago}});
}

void fate_request_handler::answer_one(call_id call, fate_outcome outcome) {
    const auto it = m_pending.find(call);
    if (it == m_pending.end()) {
        return;
    }
    m_context.timers.cancel(it->second.timer);
    m_context.emit(m_composer.fate_answer(call, it->second.token_text, outcome));
    m_pending.erase(it);
}

void fate_request_handler::answer_matching(fate_outcome outcome,
                                           const std::function<bool(const request_token&)>& applies) {
    std::vector<call_id> calls;
    for (const auto& [call, it] : m_pending) {
        if (applies(it.token)) {
            calls.push_back(call);
        }
    }
    std::ranges::sort(calls);
    for (const auto call : calls) {
        answer_one(call, outcome);
    }
}

std::vector<call_id> fate_request_handler::pending_for(const target_id& target) const {
    std::vector<call_id> result;
    for (const auto& [call, it] : m_pending) {
        if (it.token.owner == target) {
            result.push_back(call);
        }
    }
    std::ranges::sort(result);
    return result;
}

} // namespace cornelpier
