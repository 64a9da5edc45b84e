#include "cornelpier/membership/record_selector.hpp"

#include <algorithm>
#include <functional>

namespace cornelpier {

namespace {

constexpr std::size_t max_news = 8;
constexpr std::size_t max_old = 14;

/// Peers are asked for records above this age; those of the own data centre count as twice as old.
constexpr duration ask_age = std::chrono::seconds{9};
constexpr int own_data_centre_factor = 2;

/// A record is asked for again when its age grew by a third, so that lost nodes do not fill the messages.
constexpr double ask_growth = 1.33;

/// Fresh records are drawn from this many, so that messages of one moment differ.
constexpr std::size_t fresh_pool = 96;

/// Old records that are prepared for the requests of one round.
constexpr std::size_t old_pool = 3 * max_old;

/// Time for which the lists are used.
constexpr duration prepared_time = std::chrono::milliseconds{400};

template <typename Range, typename Order>
void keep_first(Range& range, std::size_t count, Order order) {
    if (range.size() > count) {
        std::nth_element(range.begin(), range.begin() + static_cast<std::ptrdiff_t>(count), range.end(),
                         order);
        range.resize(count);
    }
}

} // namespace

void record_selector::begin(std::span<member> members, time_point now) {
    ++m_message;
    members.front().message = m_message;
    prepare(members, now);
}

bool record_selector::add(member& chosen, time_point now, record_list& records) const {
    if (chosen.message == m_message) {
        return true;
    }
    chosen.message = m_message;
    return records.add(chosen.record(now));
}

void record_selector::prepare(std::span<const member> members, time_point now) {
    if (m_prepared_for == members.size() && now - m_prepared_at < prepared_time) {
        return;
    }
    m_prepared_for = members.size();
    m_prepared_at = now;
    rank(members, now);
    keep_first(m_fresh, fresh_pool, std::less<>{});
    keep_first(m_old, old_pool, std::greater<>{});
    std::ranges::sort(m_old);
}

void record_selector::rank(std::span<const member> members, time_point now) {
    m_news.clear();
    m_old.clear();
    m_fresh.clear();
    for (std::size_t n = 1; n < members.size(); ++n) {
        const member& it = members[n];
        const duration age = it.age(now);
        if (it.news > 0) {
            m_news.push_back(n);
        }
        if (it.known()) {
            m_fresh.emplace_back(age, n);
        }
        if (age * own_data_centre_factor < ask_age ||
            to_seconds(age) < to_seconds(it.asked_age) * ask_growth) {
            continue;
        }
        const duration weighted = it.data_centre == m_data_centre ? age * own_data_centre_factor : age;
        if (weighted >= ask_age) {
            m_old.emplace_back(weighted, n);
        }
    }
}

void record_selector::add_for_request(std::span<member> members, time_point now, random_source& random,
                                      record_list& records) {
    begin(members, now);
    add_news(members, now, random, records);
    add_old(members, now, records);
    add_fresh(members, now, random, records);
}

void record_selector::add_news(std::span<member> members, time_point now, random_source& random,
                               record_list& records) {
    for (std::size_t n = 0; n < max_news && !m_news.empty(); ++n) {
        std::swap(m_news[random.below(m_news.size())], m_news.back());
        member& it = members[m_news.back()];
        m_news.pop_back();
        it.news = static_cast<std::uint8_t>(it.news - std::min<std::uint8_t>(it.news, 1));
        add(it, now, records);
    }
}

void record_selector::add_old(std::span<member> members, time_point now, record_list& records) {
    for (std::size_t n = 0; n < max_old && !m_old.empty(); ++n) {
        member& it = members[m_old.back().second];
        m_old.pop_back();
        it.asked_age = it.age(now);
        add(it, now, records);
    }
}

void record_selector::add_fresh(std::span<member> members, time_point now, random_source& random,
                                record_list& records) {
    for (std::size_t n = 0; n < m_fresh.size(); ++n) {
        std::swap(m_fresh[n], m_fresh[n + random.below(m_fresh.size() - n)]);
        if (!add(members[m_fresh[n].second], now, records)) {
            return;
        }
    }
}

} // namespace cornelpier
