#include "cornelpier/node/plan_read_scheduler.hpp"

#include "cornelpier/base/backoff.hpp"

#include <algorithm>

namespace cornelpier {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Limits the rate of watches against a service that ends each of them immediately.
constexpr duration min_watch_period = seconds{1};

/// A service that has an older or invalid sheet answers each watch immediately, since its version differs.
/// This delay replaces the wait of the watch.
constexpr duration refused_sheet_delay = seconds{4};

constexpr duration reader_min_backoff = seconds{1};
constexpr duration reader_max_backoff = seconds{8};
constexpr duration bootstrap_min_backoff = seconds{1};
constexpr duration bootstrap_max_backoff = seconds{10};
constexpr duration fallback_min_backoff = seconds{5};
constexpr duration fallback_max_backoff = seconds{60};

/// Every read is expected to end in an event. One that does not is treated as failed after its own wait plus
/// this timeout, which covers an I/O layer that always waits the 30 s a watch may take.
constexpr duration lost_read_timeout = seconds{45};

} // namespace

std::optional<std::uint64_t> plan_read_scheduler::watched_version() const {
    return m_outstanding ? m_outstanding->newer_than : std::nullopt;
}

void plan_read_scheduler::set_reason(plan_read_reason reason, time_point now) {
    if (reason == m_reason) {
        return;
    }
    m_reason = reason;
    m_backoff_step = 0;
    // All nodes of a partition without readers fall back at about the same time; a random delay spreads their
    // reads.
    m_next_read_at = reason == plan_read_reason::fallback
                         ? now + from_seconds(m_random.unit() * to_seconds(fallback_min_backoff))
                         : now;
}

std::optional<read_plan> plan_read_scheduler::poll(plan_read_reason reason, std::uint64_t version,
                                                   time_point now) {
    set_reason(reason, now);
    if (m_outstanding && now >= m_outstanding->times_out_at) {
        finish(read_outcome::failed, now);
    }
    if (reason == plan_read_reason::none || m_outstanding || now < m_next_read_at) {
        return std::nullopt;
    }

    read_plan read;
    if (reason != plan_read_reason::bootstrap) {
        read.newer_than = version;
    }
    read.wait = reason == plan_read_reason::reader ? watch_timeout : duration::zero();
    m_outstanding = outstanding_read{read.newer_than, now, now + read.wait + lost_read_timeout};
    return read;
}

void plan_read_scheduler::finish(read_outcome outcome, time_point now) {
    const time_point started = m_outstanding ? m_outstanding->started_at : now;
    m_outstanding.reset();

    if (m_reason == plan_read_reason::reader && outcome == read_outcome::success) {
        m_backoff_step = 0;
        m_next_read_at = std::max(now, started + min_watch_period);
        return;
    }
    if (m_reason == plan_read_reason::reader && outcome == read_outcome::refused) {
        m_next_read_at = now + from_seconds(to_seconds(refused_sheet_delay) * (0.5 + m_random.unit() / 2));
        return;
    }

    switch (m_reason) {
    case plan_read_reason::reader:
        m_next_read_at = now + backoff(reader_min_backoff, reader_max_backoff, m_backoff_step, m_random);
        break;
    case plan_read_reason::bootstrap:
        m_next_read_at =
            now + backoff(bootstrap_min_backoff, bootstrap_max_backoff, m_backoff_step, m_random);
        break;
    default:
        m_next_read_at = now + backoff(fallback_min_backoff, fallback_max_backoff, m_backoff_step, m_random);
        break;
    }
    ++m_backoff_step;
}

} // namespace cornelpier
