#include "cornelpier/owner/fate_responder.hpp"

namespace cornelpier {

void fate_responder::on_query(link_id link, const fate_query& query) {
    m_state.ledger.expire(m_state.now());

    if (accepted_run* accepted = m_state.runs.find(query.attempt); accepted != nullptr) {
        // The entry of an attempt queries it on a new link after the old one went silent, so the final answer
        // must go to the new link. Other nodes query on behalf of callers and are not sent the final answer.
        if (m_state.outbox.is_peer(link, query.attempt.request.entry)) {
            accepted->reply_to = link;
        }
        reply(link, query, fate_outcome::running);
        return;
    }
    if (const stored_answer* stored = m_state.ledger.find(query.attempt); stored != nullptr) {
        reply_from_record(link, query, *stored);
        return;
    }
    reply(link, query, outcome_without_record(query));
}

void fate_responder::reply_from_record(link_id link, const fate_query& query, const stored_answer& stored) {
    if (stored.outcome == verdict::not_run) {
        reply(link, query, fate_outcome::refused);
        return;
    }
    m_state.send_answer(link, stored.replay(query.attempt));
    reply(link, query, stored.outcome == verdict::ran ? fate_outcome::ran : fate_outcome::unknown);
}

fate_outcome fate_responder::outcome_without_record(const fate_query& query) {
    const permit_status status = m_state.permits.check(query.permit, m_state.now());
    if (status == permit_status::missing || status == permit_status::not_issued) {
        return fate_outcome::unknown;
    }
    if (status == permit_status::expired) {
        const bool within_window = m_state.now() <= query.permit->expires_at + late_query_window;
        return within_window ? fate_outcome::refused : fate_outcome::unknown;
    }
    // The permit is still valid, so a late copy could run unless the attempt is recorded as refused. If the
    // ledger is full, the outcome remains unknown.
    if (!m_state.ledger.refuse(query.attempt, query.permit->expires_at)) {
        m_state.outbox.log_throttled(event_number::ledger_full, {});
        return fate_outcome::unknown;
    }
    return fate_outcome::refused;
}

void fate_responder::reply(link_id link, const fate_query& query, fate_outcome outcome) {
    m_state.outbox.send(link, fate_reply{query.attempt, outcome, m_state.make_reading()});
}

} // namespace cornelpier
