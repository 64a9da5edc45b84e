#include "tests/soak/promise_ledger.hpp"

#include <algorithm>

namespace cornelpier::soak {

namespace {

/// By how much a server's deadline may exceed the caller's. Stated by the platform.
constexpr std::chrono::milliseconds deadline_slack{500};

/// Broken connections after a run that the platform tolerates.
constexpr std::size_t tolerated_losses = 3;

bool is_promise(int status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

void promise_ledger::on_sent(const request_record& sent) {
    m_entries[sent.id].sent = sent;
}

void promise_ledger::on_run(const request_record& seen) {
    const auto it = m_entries.find(seen.id);
    if (it == m_entries.end()) {
        complain("unasked", seen.id, "no caller sent it");
        return;
    }
    auto& known = it->second;
    if (seen.target != known.sent.target || seen.body != known.sent.body) {
        complain("unasked", seen.id, "ran with another path or body: " + seen.target);
    }
    if (seen.deadline.count() <= 0 || seen.deadline > known.sent.deadline + deadline_slack) {
        complain("budget", seen.id, "deadline of " + std::to_string(seen.deadline.count()) + " ms");
    }
    ++known.runs;
    if (!known.sent.may_repeat && known.runs > 1) {
        complain("twice", seen.id, "began to run again");
    }
    if (known.runs > m_max_attempts) {
        complain("budget", seen.id, "run " + std::to_string(known.runs));
    }
    if (known.promised && !known.sent.may_repeat) {
        complain("refused", seen.id, "began to run after status " + std::to_string(*known.promised));
    }
}

void promise_ledger::on_served(const std::string& id, const answer_record& given) {
    m_entries[id].given.push_back(given);
}

void promise_ledger::on_answer(const std::string& id, const answer_record& got) {
    ++m_answers[got.status];
    auto& known = m_entries[id];
    if (!got.seal.empty() || got.status / 100 == 2) {
        const bool given = std::ranges::any_of(known.given, [&](const answer_record& it) {
            return it.status == got.status && it.id == id && it.seal == got.seal && it.body == got.body;
        });
        if (!given || got.id != id) {
            complain("mixed", id, "status " + std::to_string(got.status) + " is no answer of a server to it");
        }
        return;
    }
    if (got.status / 100 == 3 || (got.status / 100 == 4 && !is_promise(got.status))) {
        complain("denied", id, "status " + std::to_string(got.status));
    }
    if (is_promise(got.status)) {
        known.promised = got.status;
        if (known.runs > 0 && !known.sent.may_repeat) {
            complain("refused", id, "had run before status " + std::to_string(got.status));
        }
    }
}

void promise_ledger::on_broken(const std::string& id, bool excused) {
    ++m_answers[0];
    m_entries[id].broken = !excused;
}

void promise_ledger::on_held(const std::string& id, bool excused) {
    ++m_answers[0];
    if (!excused) {
        complain("held", id, "no answer after its timeout");
    }
}

void promise_ledger::on_late_run(const std::string& id, std::chrono::milliseconds after) {
    complain("drain", id, "ran " + std::to_string(after.count()) + " ms after its server had left");
}

void promise_ledger::complain(const std::string& rule, const std::string& id, const std::string& text) {
    m_complaints.push_back(rule + ": request " + id + " " + text);
}

void promise_ledger::finish() {
    std::vector<std::string> lost;
    for (const auto& [id, it] : m_entries) {
        if (it.broken && it.runs > 0) {
            lost.push_back(id);
        }
    }
    if (lost.size() > tolerated_losses) {
        for (const auto& it : lost) {
            complain("lost", it, "ran, and its connection ended without an answer");
        }
    }
}

} // namespace cornelpier::soak
