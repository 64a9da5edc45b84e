#include "cornelpier/node/service_reader.hpp"

#include "cornelpier/base/backoff.hpp"

#include <algorithm>

namespace cornelpier {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A service that ends watches at once is read no faster than this.
constexpr duration shortest_period = seconds{1};

/// A service that serves an older or invalid sheet answers watches at once.
constexpr duration refused_delay = seconds{4};

constexpr duration reader_first_backoff = seconds{1};
constexpr duration reader_longest_backoff = seconds{8};
constexpr duration bootstrap_first_backoff = seconds{1};
constexpr duration bootstrap_longest_backoff = seconds{10};
constexpr duration fallback_first_backoff = seconds{5};
constexpr duration fallback_longest_backoff = seconds{60};

/// The shell ends every read; a read that it lost is given up on after its wait and this time. It covers a
/// shell that always waits the 30 s that a watch may take.
constexpr duration lost_read_limit = seconds{45};

} // namespace

std::optional<std::uint64_t> service_reader::watched_version() const {
    return m_outstanding ? m_outstanding->newer_than : std::nullopt;
}

void service_reader::enter(reading_role role, time_point now) {
    if (role == m_role) {
        return;
    }
    m_role = role;
    m_repeats = 0;
    // All nodes of a part that lost its readers arrive here at about the same time.
    m_next = role == reading_role::fallback
                 ? now + from_seconds(m_random.unit() * to_seconds(fallback_first_backoff))
                 : now;
}

std::optional<read_plan> service_reader::poll(reading_role role, std::uint64_t version, time_point now) {
    enter(role, now);
    if (m_outstanding && now >= m_outstanding->given_up_at) {
        finish(read_outcome::failed, now);
    }
    if (role == reading_role::none || m_outstanding || now < m_next) {
        return std::nullopt;
    }

    read_plan read;
    if (role != reading_role::bootstrap) {
        read.newer_than = version;
    }
    read.wait = role == reading_role::reader ? watch_wait : duration::zero();
    m_outstanding = outstanding_read{read.newer_than, now, now + read.wait + lost_read_limit};
    return read;
}

void service_reader::finish(read_outcome outcome, time_point now) {
    const time_point started = m_outstanding ? m_outstanding->started_at : now;
    m_outstanding.reset();

    if (m_role == reading_role::reader && outcome == read_outcome::progress) {
        m_repeats = 0;
        m_next = std::max(now, started + shortest_period);
        return;
    }
    if (m_role == reading_role::reader && outcome == read_outcome::refused) {
        m_next = now + from_seconds(to_seconds(refused_delay) * (0.5 + m_random.unit() / 2));
        return;
    }

    switch (m_role) {
    case reading_role::reader:
        m_next = now + backoff(reader_first_backoff, reader_longest_backoff, m_repeats, m_random);
        break;
    case reading_role::bootstrap:
        m_next = now + backoff(bootstrap_first_backoff, bootstrap_longest_backoff, m_repeats, m_random);
        break;
    default:
        m_next = now + backoff(fallback_first_backoff, fallback_longest_backoff, m_repeats, m_random);
        break;
    }
    ++m_repeats;
}

} // namespace cornelpier
