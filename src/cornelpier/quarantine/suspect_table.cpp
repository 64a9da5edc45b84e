#include "cornelpier/quarantine/suspect_table.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cornelpier {

namespace {

/// Two ends of servers with one request in common are evidence; one end names everything that ran.
constexpr std::size_t min_crashes_of_culprit = 2;

bool contains(const std::vector<crash_id>& crashes, const crash_id& crash) {
    return std::ranges::find(crashes, crash) != crashes.end();
}

} // namespace

std::vector<std::pair<std::string, std::string>> quarantine_fields(const quarantine_notice& notice) {
    const auto length = std::chrono::duration_cast<std::chrono::seconds>(notice.length);
    return {{"fingerprint", to_string(notice.fingerprint)},
            {"crashes", std::to_string(notice.crashes)},
            {"for_s", std::to_string(length.count())}};
}

std::size_t suspect_table::quarantined(time_point now) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        m_records, [now](const auto& it) { return level(it.second, now) == suspicion::quarantined; }));
}

std::optional<request_fingerprint> suspect_table::find(const service_id& service,
                                                       const http_request& request) const {
    if (m_records.empty()) {
        return std::nullopt;
    }
    return find(hash_head(service, request), request.body);
}

std::optional<request_fingerprint> suspect_table::find(std::uint64_t head, const shared_body& body) const {
    const auto it = m_records.lower_bound({head, 0});
    if (it == m_records.end() || it->first.head != head) {
        return std::nullopt;
    }
    const request_fingerprint fingerprint{head, hash_body(body)};
    return m_records.contains(fingerprint) ? std::optional{fingerprint} : std::nullopt;
}

suspicion suspect_table::level(const record& it, time_point now) {
    if (it.is_cleared() || now >= expiry(it)) {
        return suspicion::none;
    }
    return it.quarantined_until && now < *it.quarantined_until ? suspicion::quarantined
                                                               : suspicion::suspected;
}

suspicion suspect_table::level(const request_fingerprint& fingerprint, time_point now) const {
    const auto it = m_records.find(fingerprint);
    return it == m_records.end() ? suspicion::none : level(it->second, now);
}

suspicion suspect_table::level(const service_id& service, const http_request& request, time_point now) const {
    const auto fingerprint = find(service, request);
    return fingerprint ? level(*fingerprint, now) : suspicion::none;
}

suspicion suspect_table::level(const run_trace& trace, time_point now) const {
    const auto fingerprint = find(trace.head, trace.body);
    return fingerprint ? level(*fingerprint, now) : suspicion::none;
}

duration suspect_table::quarantine_left(const service_id& service, const http_request& request,
                                        time_point now) const {
    const auto fingerprint = find(service, request);
    return fingerprint ? quarantine_left(*fingerprint, now) : duration::zero();
}

duration suspect_table::quarantine_left(const request_fingerprint& fingerprint, time_point now) const {
    const auto it = m_records.find(fingerprint);
    const bool is_quarantined = it != m_records.end() && level(it->second, now) == suspicion::quarantined;
    return is_quarantined ? *it->second.quarantined_until - now : duration::zero();
}

suspect_changes suspect_table::on_crash(const crash_id& crash, const service_id& service,
                                        const std::vector<request_fingerprint>& exposed, time_point now) {
    expire(now);
    suspect_changes changes;
    for (std::size_t n = 0; n < std::min(exposed.size(), max_suspects_per_crash); ++n) {
        changes.has_news |= add_crash(exposed[n], service, crash, now);
    }
    judge(crash, now, changes);
    return changes;
}

suspicion suspect_table::on_success(const request_fingerprint& fingerprint, time_point now) {
    const auto it = m_records.find(fingerprint);
    if (it == m_records.end() || it->second.is_cleared()) {
        return suspicion::none;
    }
    record& found = it->second;
    const suspicion before = level(found, now);
    found.cleared_crashes = std::exchange(found.crashes, {});
    found.changed_at = now;
    found.quarantined_until.reset();
    found.quarantine_length = duration::zero();
    return before;
}

suspect_changes suspect_table::apply(const suspect_update& update, time_point now) {
    expire(now);
    suspect_changes changes;
    std::vector<crash_id> new_crashes;
    for (const auto& it : update.suspects) {
        changes.has_news |= it.cleared ? apply_cleared(it, now)
                                       : apply_suspect(update.service, it, now, new_crashes, changes);
    }
    for (const auto& it : new_crashes) {
        judge(it, now, changes);
    }
    return changes;
}

bool suspect_table::apply_cleared(const suspect_notice& notice, time_point now) {
    const auto it = m_records.find(notice.fingerprint);
    const bool is_known =
        it != m_records.end() && std::ranges::all_of(it->second.crashes, [&](const auto& crash) {
            return contains(notice.crashes, crash);
        });
    return is_known && on_success(notice.fingerprint, now) != suspicion::none;
}

/// Ends that led to a quarantine that is over are not judged again.
bool suspect_table::apply_suspect(const service_id& service, const suspect_notice& notice, time_point now,
                                  std::vector<crash_id>& new_crashes, suspect_changes& changes) {
    const duration length = std::min(notice.quarantine_length, max_quarantine);
    const bool is_over = length > duration::zero() && notice.quarantine_left <= duration::zero();
    bool has_news = false;
    for (std::size_t n = 0; n < std::min(notice.crashes.size(), max_crashes_per_record); ++n) {
        const bool is_new = add_crash(notice.fingerprint, service, notice.crashes[n], now);
        has_news = has_news || is_new;
        if (is_new && !is_over) {
            new_crashes.push_back(notice.crashes[n]);
        }
    }

    const auto it = m_records.find(notice.fingerprint);
    if (it == m_records.end() || it->second.is_cleared() ||
        level(it->second, now) == suspicion::quarantined) {
        return has_news;
    }
    if (is_over) {
        it->second.quarantine_length = std::max(it->second.quarantine_length, length);
        it->second.quarantined_until = it->second.quarantined_until.value_or(now);
        return has_news;
    }
    if (notice.quarantine_left <= duration::zero()) {
        return has_news;
    }
    quarantine(*it, length, notice.quarantine_left, now, changes);
    return true;
}

void suspect_table::on_refused(const service_id& service, const request_fingerprint& fingerprint,
                               duration left, time_point now) {
    if (left <= duration::zero() || level(fingerprint, now) == suspicion::quarantined) {
        return;
    }
    make_room();
    record& it = m_records[fingerprint];
    it.service = service;
    it.changed_at = now;
    it.quarantined_until = now + std::min(left, max_quarantine);
    it.quarantine_length = std::max(it.quarantine_length, first_quarantine);
}

bool suspect_table::add_crash(const request_fingerprint& fingerprint, const service_id& service,
                              const crash_id& crash, time_point now) {
    if (is_explained(crash, fingerprint)) {
        return false;
    }
    auto it = m_records.find(fingerprint);
    if (it == m_records.end()) {
        make_room();
        it = m_records.emplace(fingerprint, record{service, {}, {}, now, std::nullopt, {}}).first;
    }
    record& found = it->second;
    if (contains(found.crashes, crash) || contains(found.cleared_crashes, crash)) {
        return false;
    }
    if (found.crashes.size() == max_crashes_per_record) {
        found.crashes.erase(found.crashes.begin());
    }
    found.crashes.push_back(crash);
    found.changed_at = now;
    return true;
}

/// The cause of one end cannot be told from the others. If all of them were in progress at another end, too,
/// as when the servers of a rack end, none of them is picked either.
void suspect_table::judge(const crash_id& crash, time_point now, suspect_changes& changes) {
    record_map::value_type* culprit = nullptr;
    std::size_t most = 0;
    bool is_unique = false;
    for (auto& item : m_records) {
        const record& it = item.second;
        if (!contains(it.crashes, crash)) {
            continue;
        }
        const std::size_t count = it.crashes.size();
        is_unique = count > most || (is_unique && count < most);
        if (count > most) {
            most = count;
            culprit = &item;
        }
    }
    if (!is_unique || most < min_crashes_of_culprit ||
        level(culprit->second, now) == suspicion::quarantined) {
        return;
    }
    const duration last = culprit->second.quarantine_length;
    const duration length = last == duration::zero() ? first_quarantine : std::min(2 * last, max_quarantine);
    quarantine(*culprit, length, length, now, changes);
    changes.has_news = true;
}

void suspect_table::quarantine(record_map::value_type& item, duration length, duration left, time_point now,
                               suspect_changes& changes) {
    record& it = item.second;
    it.quarantine_length = length;
    it.quarantined_until = now + std::min(left, length);
    it.changed_at = now;
    changes.quarantined.push_back({item.first, it.crashes.size(), *it.quarantined_until - now});
    drop_explained(item.first);
}

bool suspect_table::is_explained(const crash_id& crash, const request_fingerprint& other_than) const {
    return std::ranges::any_of(m_records, [&](const auto& it) {
        return it.first != other_than && it.second.quarantine_length > duration::zero() &&
               contains(it.second.crashes, crash);
    });
}

void suspect_table::drop_explained(const request_fingerprint& culprit) {
    const std::vector<crash_id> explained = m_records.at(culprit).crashes;
    for (auto& [fingerprint, it] : m_records) {
        if (fingerprint != culprit && it.quarantine_length == duration::zero()) {
            std::erase_if(it.crashes, [&](const crash_id& crash) { return contains(explained, crash); });
        }
    }
    std::erase_if(m_records,
                  [](const auto& it) { return it.second.is_cleared() && it.second.cleared_crashes.empty(); });
}

suspect_notice suspect_table::make_notice(const record_map::value_type& item, time_point now) {
    const record& it = item.second;
    suspect_notice notice;
    notice.fingerprint = item.first;
    notice.cleared = it.is_cleared();
    notice.crashes = notice.cleared ? it.cleared_crashes : it.crashes;
    if (level(it, now) == suspicion::quarantined) {
        notice.quarantine_left = *it.quarantined_until - now;
    }
    notice.quarantine_length = it.quarantine_length;
    return notice;
}

suspect_update suspect_table::make_update(const service_id& service, time_point now) const {
    suspect_update update{service, {}};
    for (const auto& item : m_records) {
        const record& it = item.second;
        const bool is_relevant = it.quarantined_until || it.crashes.size() >= min_crashes_of_culprit ||
                                 now - it.changed_at <= recent_time;
        if (it.service == service && is_relevant && level(it, now) != suspicion::none) {
            update.suspects.push_back(make_notice(item, now));
        }
    }
    return update;
}

suspect_update suspect_table::make_update(const service_id& service,
                                          const std::vector<request_fingerprint>& fingerprints,
                                          time_point now) const {
    suspect_update update{service, {}};
    for (const auto& fingerprint : fingerprints) {
        if (const auto it = m_records.find(fingerprint); it != m_records.end()) {
            update.suspects.push_back(make_notice(*it, now));
        }
    }
    return update;
}

/// A request that was in quarantine is remembered as long again, so that the next quarantine is longer.
time_point suspect_table::expiry(const record& it) {
    if (it.quarantined_until) {
        return *it.quarantined_until + std::max(it.quarantine_length, suspicion_length);
    }
    return it.changed_at + suspicion_length;
}

void suspect_table::expire(time_point now) {
    if (m_records.empty() || now < m_next_expiry) {
        return;
    }
    m_next_expiry = now + expiry_interval;
    std::erase_if(m_records, [now](const auto& it) { return now >= expiry(it.second); });
}

/// Suspects of one end give way before requests in quarantine, older ones first.
void suspect_table::make_room() {
    if (m_records.size() < max_records) {
        return;
    }
    const auto rank = [](const auto& it) {
        return std::tuple{!it.second.is_cleared(), it.second.quarantine_length > duration::zero(),
                          it.second.changed_at};
    };
    m_records.erase(std::ranges::min_element(m_records, {}, rank));
}

} // namespace cornelpier
