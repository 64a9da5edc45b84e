#include "cornelpier/admission/warm_up_limiter.hpp"

#include "cornelpier/admission/warm_up_pacer.hpp"

#include <algorithm>
#include <array>

namespace cornelpier {

std::string_view to_string(warm_up_cause cause) {
    constexpr std::array<std::string_view, 5> names{"owner_started", "server_ended", "new_process",
                                                    "unconfirmed", "reported"};
    return names.at(static_cast<std::size_t>(cause));
}

warm_up_limiter::warm_up_limiter(time_point start) : m_ends_at(start) {}

void warm_up_limiter::configure(const std::optional<warm_up_plan>& plan, bool reports_expected,
                                time_point now) {
    const bool is_first = !m_plan && plan;
    const bool reports_changed = reports_expected != m_reports_expected;
    m_plan = plan;
    m_reports_expected = reports_expected;
    // Reports are read without a warm-up rate, too, so that what they said may be known already.
    if (!m_reported_at && (is_first || reports_changed)) {
        on_new_process(m_cause, now);
    }
}

void warm_up_limiter::on_report_requested() {
    if (!m_report_pending) {
        m_starts_since_request = 0;
    }
    m_report_pending = true;
}

void warm_up_limiter::on_start() {
    ++m_starts_since_request;
    ++m_unproved_starts;
}

void warm_up_limiter::on_report(const warm_up_report& report, time_point now) {
    m_report_pending = false;
    if (report.malformed) {
        // The process that answers is at least as old as its answer.
        if (!m_reported_at && !m_ends_at) {
            m_ends_at = now + length();
        }
        return;
    }
    if (!report.remaining && !report.healthy) {
        return;
    }
    m_reported_at = now;
    m_unproved_starts = std::min(m_unproved_starts, m_starts_since_request);
    const duration remaining = report.remaining.value_or(duration::zero());
    if (remaining == duration::zero()) {
        m_ends_at = now;
        return;
    }
    m_ends_at = with_confirmation(now + remaining);
    m_cause = warm_up_cause::reported;
}

void warm_up_limiter::on_new_process(warm_up_cause cause, time_point now) {
    m_cause = cause;
    m_reported_at.reset();
    m_ends_at = m_reports_expected ? std::nullopt : std::optional{now + length()};
}

void warm_up_limiter::on_listed(duration remaining, time_point now) {
    if (!m_reported_at && m_ends_at) {
        m_ends_at = std::max(*m_ends_at, now + std::min(remaining, max_warm_up_length));
    }
}

bool warm_up_limiter::is_cold(time_point now) const {
    return m_plan && (!m_ends_at || now < *m_ends_at || is_unconfirmed());
}

bool warm_up_limiter::is_unconfirmed() const {
    return m_plan && m_reports_expected && m_unproved_starts >= max_unproved_starts();
}

std::optional<time_point> warm_up_limiter::ends_at() const {
    return is_unconfirmed() ? std::nullopt : m_ends_at;
}

warm_up_cause warm_up_limiter::cause() const {
    return is_unconfirmed() && m_reported_at ? warm_up_cause::unconfirmed : m_cause;
}

std::size_t warm_up_limiter::max_unproved_starts() const {
    return m_plan ? warm_up_pacer::starts_per_window(m_plan->limit) : 0;
}

time_point warm_up_limiter::confirm_at() const {
    if (!m_ends_at) {
        return time_point::max();
    }
    return m_reports_expected && m_reported_at ? *m_ends_at - confirmation_time : *m_ends_at;
}

std::optional<rate> warm_up_limiter::limit(time_point now) const {
    return is_cold(now) ? std::optional{m_plan->limit} : std::nullopt;
}

duration warm_up_limiter::remaining(time_point now) const {
    if (!is_cold(now)) {
        return duration::zero();
    }
    return ends_at() ? std::max(confirm_at() - now, duration::zero()) : length();
}

bool warm_up_limiter::needs_report(time_point now) const {
    if (!m_plan || !m_reports_expected) {
        return false;
    }
    if (!m_reported_at) {
        return true;
    }
    // Early enough for the report to arrive before the runs have to wait for it.
    return now >= confirm_at() && (is_cold(now) || 2 * m_unproved_starts >= max_unproved_starts());
}

duration warm_up_limiter::length() const {
    return m_plan ? m_plan->length : duration::zero();
}

time_point warm_up_limiter::with_confirmation(time_point end) const {
    return m_reports_expected ? end + confirmation_time : end;
}

} // namespace cornelpier
