#include "cornelpier/membership/record_selector.hpp"

#include <algorithm>
#include <functional>

namespace cornelpier {

namespace {

constexpr std::size_t max_recent_changes = 8;
constexpr std::size_t max_old_records = 14;

/// Newer records are requested from peers above this age. Records of this node's data centre count as twice
/// as old.
constexpr duration refresh_request_age = std::chrono::seconds{9};
constexpr int own_data_centre_age_factor = 2;

/// A record is requested again once its age has grown by a third, so that failed nodes do not fill the
/// messages.
constexpr double refresh_request_age_factor = 1.33;

/// Number of the freshest records from which each message gets a random sample, so that messages sent at the
/// same time differ.
constexpr std::size_t fresh_pool_size = 96;

/// Number of old records that are kept for the requests of one gossip round.
constexpr std::size_t old_pool_size = 3 * max_old_records;

/// Time for which a ranking of the members is reused.
constexpr duration ranking_reuse_period = std::chrono::milliseconds{400};

template <typename Range, typename Order>
void keep_first(Range& range, std::size_t count, Order order) {
    if (range.size() > count) {
        std::nth_element(range.begin(), range.begin() + static_cast<std::ptrdiff_t>(count), range.end(),
                         order);
        range.resize(count);
    }
}

} // namespace

void record_selector::begin_message(std::span<member> members, time_point now) {
    ++m_message_number;
    members.front().last_message = m_message_number;
    refresh_candidates(members, now);
}

bool record_selector::add(member& chosen, time_point now, record_list& records) const {
    if (chosen.last_message == m_message_number) {
        return true;
    }
    chosen.last_message = m_message_number;
    return records.add(chosen.record(now));
}

void record_selector::refresh_candidates(std::span<const member> members, time_point now) {
    if (m_ranked_member_count == members.size() && now - m_ranked_at < ranking_reuse_period) {
        return;
    }
    m_ranked_member_count = members.size();
    m_ranked_at = now;
    rank_members(members, now);
    keep_first(m_fresh, fresh_pool_size, std::less<>{});
    keep_first(m_old, old_pool_size, std::greater<>{});
    std::ranges::sort(m_old);
}

void record_selector::rank_members(std::span<const member> members, time_point now) {
    m_recently_changed.clear();
    m_old.clear();
    m_fresh.clear();
    for (std::size_t n = 1; n < members.size(); ++n) {
        const member& it = members[n];
        const duration age = it.age(now);
        if (it.priority_sends > 0) {
            m_recently_changed.push_back(n);
        }
        if (it.has_record()) {
            m_fresh.emplace_back(age, n);
        }
        if (age * own_data_centre_age_factor < refresh_request_age ||
            to_seconds(age) < to_seconds(it.age_at_request) * refresh_request_age_factor) {
            continue;
        }
        const duration weighted = it.data_centre == m_data_centre ? age * own_data_centre_age_factor : age;
        if (weighted >= refresh_request_age) {
            m_old.emplace_back(weighted, n);
        }
    }
}

void record_selector::add_for_request(std::span<member> members, time_point now, random_source& random,
                                      record_list& records) {
    begin_message(members, now);
    add_recent_changes(members, now, random, records);
    add_old_records(members, now, records);
    add_fresh_records(members, now, random, records);
}

void record_selector::add_recent_changes(std::span<member> members, time_point now, random_source& random,
                                         record_list& records) {
    for (std::size_t n = 0; n < max_recent_changes && !m_recently_changed.empty(); ++n) {
        std::swap(m_recently_changed[random.below(m_recently_changed.size())], m_recently_changed.back());
        member& it = members[m_recently_changed.back()];
        m_recently_changed.pop_back();
        it.priority_sends =
            static_cast<std::uint8_t>(it.priority_sends - std::min<std::uint8_t>(it.priority_sends, 1));
        add(it, now, records);
    }
}

void record_selector::add_old_records(std::span<member> members, time_point now, record_list& records) {
    for (std::size_t n = 0; n < max_old_records && !m_old.empty(); ++n) {
        member& it = members[m_old.back().second];
        m_old.pop_back();
        it.age_at_request = it.age(now);
        add(it, now, records);
    }
}

void record_selector::add_fresh_records(std::span<member> members, time_point now, random_source& random,
                                        record_list& records) {
    for (std::size_t n = 0; n < m_fresh.size(); ++n) {
        std::swap(m_fresh[n], m_fresh[n + random.below(m_fresh.size() - n)]);
        if (!add(members[m_fresh[n].second], now, records)) {
            return;
        }
    }
}

} // namespace cornelpier
