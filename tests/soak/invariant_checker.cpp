#include "tests/soak/invariant_checker.hpp"

#include <algorithm>

namespace cornelpier::soak {

namespace {

/// By how much the deadline at the server may exceed the caller's. Specified by the platform.
constexpr std::chrono::milliseconds deadline_slack{500};

/// Executed requests whose connection ended without a response; the platform tolerates up to this many.
constexpr std::size_t max_lost_responses = 3;

bool is_refusal(int status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

void invariant_checker::on_request_sent(const request_record& sent) {
    m_entries[sent.id].sent = sent;
}

void invariant_checker::on_execution(const request_record& seen) {
    const auto it = m_entries.find(seen.id);
    if (it == m_entries.end()) {
        add_violation("unasked", seen.id, "no caller sent it");
        return;
    }
    auto& known = it->second;
    if (seen.target != known.sent.target || seen.body != known.sent.body) {
        add_violation("unasked", seen.id, "executed with a different path or body: " + seen.target);
    }
    if (seen.deadline.count() <= 0 || seen.deadline > known.sent.deadline + deadline_slack) {
        add_violation("budget", seen.id, "deadline of " + std::to_string(seen.deadline.count()) + " ms");
    }
    ++known.runs;
    if (!known.sent.idempotent && known.runs > 1) {
        add_violation("twice", seen.id, "was started again");
    }
    if (known.runs > m_max_attempts) {
        add_violation("budget", seen.id, "execution " + std::to_string(known.runs));
    }
    if (known.refusal_status && !known.sent.idempotent) {
        add_violation("refused", seen.id,
                      "was started after status " + std::to_string(*known.refusal_status));
    }
}

void invariant_checker::on_server_response(const std::string& id, const answer_record& given) {
    m_entries[id].server_responses.push_back(given);
}

void invariant_checker::on_caller_response(const std::string& id, const answer_record& got) {
    ++m_answers[got.status];
    auto& known = m_entries[id];
    if (!got.seal.empty() || got.status / 100 == 2) {
        const bool given = std::ranges::any_of(known.server_responses, [&](const answer_record& it) {
            return it.status == got.status && it.id == id && it.seal == got.seal && it.body == got.body;
        });
        if (!given || got.id != id) {
            add_violation("mixed", id,
                          "status " + std::to_string(got.status) +
                              " does not match any response of a server to it");
        }
        return;
    }
    if (got.status / 100 == 3 || (got.status / 100 == 4 && !is_refusal(got.status))) {
        add_violation("denied", id, "status " + std::to_string(got.status));
    }
    if (is_refusal(got.status)) {
        known.refusal_status = got.status;
        if (known.runs > 0 && !known.sent.idempotent) {
            add_violation("refused", id, "had been started before status " + std::to_string(got.status));
        }
    }
}

void invariant_checker::on_connection_lost(const std::string& id, bool excused) {
    ++m_answers[0];
    m_entries[id].broken = !excused;
}

void invariant_checker::on_timeout(const std::string& id, bool excused) {
    ++m_answers[0];
    if (!excused) {
        add_violation("held", id, "got no response within its timeout");
    }
}

void invariant_checker::on_execution_after_drain(const std::string& id, std::chrono::milliseconds after) {
    add_violation("drain", id,
                  "was started " + std::to_string(after.count()) + " ms after its server began to drain");
}

void invariant_checker::add_violation(const std::string& rule, const std::string& id,
                                      const std::string& text) {
    m_violations.push_back(rule + ": request " + id + " " + text);
}

void invariant_checker::finish() {
    std::vector<std::string> lost;
    for (const auto& [id, it] : m_entries) {
        if (it.broken && it.runs > 0) {
            lost.push_back(id);
        }
    }
    if (lost.size() > max_lost_responses) {
        for (const auto& it : lost) {
            add_violation("lost", it, "was started, but its connection ended without a response");
        }
    }
}

} // namespace cornelpier::soak
