#pragma once

#include "cornelpier/base/units.hpp"
#include "cornelpier/message/traffic_messages.hpp"
#include "cornelpier/quarantine/request_fingerprint.hpp"
#include "cornelpier/quarantine/run_trace.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cornelpier {

/// How a node treats a request.
enum class suspicion : std::uint8_t {
    none,
    suspected,   ///< In progress when a server ended: runs only while no other suspect runs at the server.
    quarantined, ///< Ended servers: does not run.
};

/// A request that came into quarantine.
struct quarantine_notice {
    request_fingerprint fingerprint;
    std::size_t crashes = 0; ///< Servers that ended while it was in progress.
    duration length{};
};

/// @return fields of the event that announces the quarantine.
std::vector<std::pair<std::string, std::string>> quarantine_fields(const quarantine_notice& notice);

/// What a change of the table led to.
struct suspect_changes {
    bool has_news = false; ///< The table learned something; other nodes may lack it too.
    std::vector<quarantine_notice> quarantined;
};

/// Requests that were in progress when servers ended, by fingerprint.
///
/// One end of a server names all requests that were in progress, and only one of them is the cause. The table
/// finds it by intersection: the one request that was in progress at more ends than all others of its last
/// end comes into quarantine. It explains its ends, so that the others are no longer suspected. A run that
/// ends well clears its request. The table is bounded and forgets: a quarantine ends, and the next one lasts
/// twice as long.
class suspect_table {
  public:
    static constexpr std::size_t max_records = 256;

    /// Requests of one end of a server that are suspected at most, the youngest runs.
    static constexpr std::size_t max_suspects_per_crash = 32;

    /// Ends of servers kept for one request.
    static constexpr std::size_t max_crashes_per_record = 8;

    static constexpr duration recent_time = std::chrono::seconds{2};
    static constexpr duration suspicion_length = std::chrono::seconds{60};
    static constexpr duration first_quarantine = std::chrono::seconds{60};
    static constexpr duration expiry_interval = std::chrono::seconds{1};
    static constexpr duration max_quarantine = std::chrono::minutes{15};

    [[nodiscard]] bool empty() const { return m_records.empty(); }
    [[nodiscard]] std::size_t size() const { return m_records.size(); }
    [[nodiscard]] std::size_t quarantined(time_point now) const;

    /// @return the fingerprint of a request that has a record. Hashes the body only if the head has one.
    [[nodiscard]] std::optional<request_fingerprint> find(const service_id& service,
                                                          const http_request& request) const;

    /// @copydoc find(const service_id&, const http_request&) const
    [[nodiscard]] std::optional<request_fingerprint> find(std::uint64_t head, const shared_body& body) const;

    [[nodiscard]] suspicion level(const request_fingerprint& fingerprint, time_point now) const;

    /// @return how a request is treated.
    [[nodiscard]] suspicion level(const service_id& service, const http_request& request,
                                  time_point now) const;

    /// @return how a run is treated.
    [[nodiscard]] suspicion level(const run_trace& trace, time_point now) const;

    /// @copydoc quarantine_left(const request_fingerprint&, time_point) const
    [[nodiscard]] duration quarantine_left(const service_id& service, const http_request& request,
                                           time_point now) const;

    /// @return rest of the quarantine; zero if there is none.
    [[nodiscard]] duration quarantine_left(const request_fingerprint& fingerprint, time_point now) const;

    /// Records the end of a server.
    /// @param exposed requests that were in progress.
    suspect_changes on_crash(const crash_id& crash, const service_id& service,
                             const std::vector<request_fingerprint>& exposed, time_point now);

    /// Records that a run of the request ended well.
    /// @return how the request was treated until now. Other nodes need to know of the end of a quarantine.
    suspicion on_success(const request_fingerprint& fingerprint, time_point now);

    /// Applies what another node knows.
    suspect_changes apply(const suspect_update& update, time_point now);

    /// Starts a quarantine that another node stated in a refusal.
    void on_refused(const service_id& service, const request_fingerprint& fingerprint, duration left,
                    time_point now);

    /// Suspects of one end are left out after `recent_time`: they are many where servers end for other
    /// reasons.
    /// @return what a node that connects needs to know about the requests of a service.
    [[nodiscard]] suspect_update make_update(const service_id& service, time_point now) const;

    /// @return the records of these requests, for other nodes.
    [[nodiscard]] suspect_update make_update(const service_id& service,
                                             const std::vector<request_fingerprint>& fingerprints,
                                             time_point now) const;

    /// Removes the records that have expired, at most once per `expiry_interval`.
    void expire(time_point now);

  private:
    struct record {
        service_id service;
        std::vector<crash_id> crashes;
        std::vector<crash_id> cleared_crashes; ///< A run ended well after these.
        time_point changed_at;
        std::optional<time_point> quarantined_until; ///< May have passed.
        duration quarantine_length{};                ///< Of the last quarantine.

        [[nodiscard]] bool is_cleared() const { return crashes.empty() && !quarantined_until; }
    };
    using record_map = std::map<request_fingerprint, record>;

    [[nodiscard]] static time_point expiry(const record& it);
    [[nodiscard]] static suspicion level(const record& it, time_point now);
    [[nodiscard]] static suspect_notice make_notice(const record_map::value_type& item, time_point now);
    [[nodiscard]] bool is_explained(const crash_id& crash, const request_fingerprint& other_than) const;
    bool add_crash(const request_fingerprint& fingerprint, const service_id& service, const crash_id& crash,
                   time_point now);
    bool apply_cleared(const suspect_notice& notice, time_point now);
    /// @param new_crashes receives the ends that have to be judged.
    bool apply_suspect(const service_id& service, const suspect_notice& notice, time_point now,
                       std::vector<crash_id>& new_crashes, suspect_changes& changes);
    void quarantine(record_map::value_type& item, duration length, duration left, time_point now,
                    suspect_changes& changes);
    void judge(const crash_id& crash, time_point now, suspect_changes& changes);
    void drop_explained(const request_fingerprint& culprit);
    void make_room();

    record_map m_records;
    time_point m_next_expiry{};
};

} // namespace cornelpier
