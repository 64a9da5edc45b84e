#pragma once

#include "cornelpier/base/units.hpp"
#include "cornelpier/plan/warm_up_plan.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace cornelpier {

/// Why a server counts as cold.
enum class warm_up_cause : std::uint8_t {
    owner_started, ///< The owner has not read a report yet.
    server_ended,  ///< The server lost or refused a connection, so its process may be a new one.
    new_process,   ///< Another server process answers or is listed.
    unconfirmed,   ///< So many runs have started since the last report that it may have turned cold.
    reported       ///< The server's report says so.
};

/// @return the name of the cause, as a log field.
std::string_view to_string(warm_up_cause cause);

/// What a server's report says about its warm-up.
struct warm_up_report {
    /// Unset: the report does not mention it. A healthy server is warm then.
    std::optional<duration> remaining;
    bool healthy = true;
    bool malformed = false; ///< The remaining time could not be decoded or is out of range.
};

/// Decides whether a server counts as cold, until when, and which rate applies.
///
/// A warm server may turn cold at any moment. A report therefore proves only for as many runs that the server
/// is warm as a cold one may get in a window of the pacer.
///
/// A server of which no report is known counts as cold. If the plan allows no reports, it counts as cold for
/// the length of a warm-up.
class warm_up_limiter {
  public:
    /// Time after the reported end of a warm-up in which the server still counts as cold, unless a report
    /// says otherwise: it may have turned cold again. Periodic reports are read twice per second.
    static constexpr duration confirmation_time = std::chrono::milliseconds{600};

    /// @param start start of the owner.
    explicit warm_up_limiter(time_point start);

    /// Applies the plan.
    /// @param plan nothing: the service has no warm-up rate, and its servers never count as cold.
    /// @param reports_expected whether the plan allows reports of the server to be read.
    void configure(const std::optional<warm_up_plan>& plan, bool reports_expected, time_point now);

    /// The server answered a request for its report.
    void on_report(const warm_up_report& report, time_point now);

    /// The server's report is being read.
    void on_report_requested();

    /// The server's report could not be read.
    void on_report_failed() { m_report_pending = false; }

    /// A run starts.
    void on_start();

    /// @return runs that may start after a report before the server counts as cold.
    [[nodiscard]] std::size_t max_unproved_starts() const;

    /// The server's process may have been replaced, or is about to be.
    void on_new_process(warm_up_cause cause, time_point now);

    /// The server's entry in the directory states a remaining time. It is older than any report.
    void on_listed(duration remaining, time_point now);

    [[nodiscard]] bool is_cold(time_point now) const;

    /// @return time at which the server counts as warm without further news; nothing if only a report can
    /// tell.
    [[nodiscard]] std::optional<time_point> ends_at() const;

    /// @return time at which a report should be read because the reported remaining time is over.
    [[nodiscard]] time_point confirm_at() const;

    /// @return the rate that applies; nothing if the server is warm.
    [[nodiscard]] std::optional<rate> limit(time_point now) const;

    /// @return remaining time of the warm-up; its whole length if it is not known.
    [[nodiscard]] duration remaining(time_point now) const;

    /// @return whether a report has to be read before the next run starts.
    [[nodiscard]] bool needs_report(time_point now) const;

    /// @return why the server counts or last counted as cold.
    [[nodiscard]] warm_up_cause cause() const;

  private:
    [[nodiscard]] bool is_unconfirmed() const;
    [[nodiscard]] duration length() const;
    [[nodiscard]] time_point with_confirmation(time_point end) const;

    std::optional<warm_up_plan> m_plan;
    bool m_reports_expected = false;
    std::optional<time_point> m_reported_at; ///< Of the current server process; unset: no report yet.
    std::optional<time_point> m_ends_at;     ///< Unset: only a report can tell.
    warm_up_cause m_cause = warm_up_cause::owner_started;
    bool m_report_pending = false;
    std::size_t m_starts_since_request = 0; ///< Since the oldest request for a report that was not answered.
    std::size_t m_unproved_starts = 0;      ///< Since the request for the last report that was answered.
};

} // namespace cornelpier
