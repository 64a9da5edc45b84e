#include "cornelpier/admission/warm_up_limiter.hpp"

#include <algorithm>
#include <array>

namespace cornelpier {

std::string_view to_string(warm_up_cause cause) {
    constexpr std::array<std::string_view, 4> names{"owner_started", "server_ended", "new_process",
                                                    "reported"};
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

void warm_up_limiter::on_report(const warm_up_report& report, time_point now) {
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
    return m_plan && (!m_ends_at || now < *m_ends_at);
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
    return m_ends_at ? std::max(confirm_at() - now, duration::zero()) : length();
}

bool warm_up_limiter::needs_report(time_point now) const {
    if (!m_plan || !m_reports_expected) {
        return false;
    }
    const bool is_known = m_reported_at.has_value();
    return !is_known || (now >= confirm_at() && now - *m_reported_at > max_report_age);
}

duration warm_up_limiter::length() const {
    return m_plan ? m_plan->length : duration::zero();
}

time_point warm_up_limiter::with_confirmation(time_point end) const {
    return m_reports_expected ? end + confirmation_time : end;
}

} // namespace cornelpier
