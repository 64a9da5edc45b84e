#include "daemon/metrics/metrics.hpp"

#include <boost/histogram.hpp>

#include <array>
#include <limits>
#include <map>
#include <mutex>
#include <sstream>
#include <string_view>
#include <utility>
#include <vector>

namespace cornelpier {

namespace {

namespace hist = boost::histogram;

const std::vector<double>& latency_edges() {
    static const std::vector<double> edges{0,   0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
                                           0.1, 0.2,    0.5,   1,     2,     5,    10,   30};
    return edges;
}

auto make_latency_histogram() {
    return hist::make_histogram(hist::axis::variable<double>{latency_edges(), "seconds"});
}

struct latency_series {
    decltype(make_latency_histogram()) buckets = make_latency_histogram();
    double sum = 0;
};

std::string_view counter_name(metric kind) {
    constexpr std::array<std::string_view, 14> names{"call_latency",      "retries",
                                                     "rechoices",         "hedges",
                                                     "runs_refused",      "measurements",
                                                     "answers_discarded", "runs_started",
                                                     "runs_rate_limited", "quarantine_rejections",
                                                     "server_crashes",    "calls_spilled",
                                                     "runs_evacuated",    "runs_refused_cold"};
    return names.at(static_cast<std::size_t>(kind));
}

/// Escapes a label value for the Prometheus text format.
std::string escape_label(std::string_view value) {
    std::string result;
    for (const char c : value) {
        if (c == '\n') {
            result += "\\n";
            continue;
        }
        if (c == '"' || c == '\\') {
            result += '\\';
        }
        result += c;
    }
    return result;
}

void write_gauge(std::ostream& out, std::string_view name, std::string_view help, double value) {
    out << "# HELP cornelpier_" << name << ' ' << help << "\n# TYPE cornelpier_" << name
        << " gauge\ncornelpier_" << name << ' ' << value << '\n';
}

void write_series(std::ostream& out, const std::string& labels, const latency_series& series) {
    double cumulative = 0;
    for (auto&& cell : hist::indexed(series.buckets, hist::coverage::all)) {
        cumulative += *cell;
        const double edge = cell.bin(0).upper();
        if (edge <= 0) {
            continue;
        }
        out << "cornelpier_call_seconds_bucket{" << labels << ",le=\"";
        if (edge == std::numeric_limits<double>::infinity()) {
            out << "+Inf";
        } else {
            out << edge;
        }
        out << "\"} " << cumulative << '\n';
    }
    out << "cornelpier_call_seconds_sum{" << labels << "} " << series.sum << '\n'
        << "cornelpier_call_seconds_count{" << labels << "} " << cumulative << '\n';
}

} // namespace

/// Time series of the metrics, guarded by one mutex.
class metrics::implementation {
  public:
    void add(const record_metric& observation, time_point now) {
        const std::lock_guard lock(m_mutex);
        if (observation.kind != metric::call_latency) {
            m_counters[{observation.kind, observation.service}] += observation.value;
            return;
        }
        const duration latency{static_cast<duration::rep>(observation.value)};
        latency_series& series = m_latencies[{observation.service, observation.outcome}];
        series.buckets(to_seconds(latency));
        series.sum += to_seconds(latency);
        m_windows[observation.service].add(observation.outcome, latency, now);
    }

    [[nodiscard]] std::string exposition(const metrics_gauges& gauges) const {
        std::ostringstream out;
        out.precision(std::numeric_limits<double>::max_digits10 - 2);
        write_gauges(out, gauges);
        const std::lock_guard lock(m_mutex);
        write_counters(out);
        write_latencies(out);
        return out.str();
    }

    [[nodiscard]] std::map<service_id, latency_window::summary> last_minute(time_point now) const {
        const std::lock_guard lock(m_mutex);
        std::map<service_id, latency_window::summary> summaries;
        for (const auto& [service, window] : m_windows) {
            summaries.emplace(service, window.last_minute(now));
        }
        return summaries;
    }

  private:
    static void write_gauges(std::ostream& out, const metrics_gauges& gauges) {
        const auto& traffic = gauges.traffic;
        const auto& control = gauges.control;
        write_gauge(out, "node_state", "0 starting, 1 serving, 2 draining, 3 stopped.",
                    static_cast<double>(traffic.state));
        write_gauge(out, "calls_in_progress", "Calls without a final answer at this entry.",
                    static_cast<double>(traffic.calls_in_progress));
        write_gauge(out, "runs_at_server", "Requests at the server.",
                    static_cast<double>(traffic.runs_at_server));
        write_gauge(out, "runs_queued", "Requests that wait at the owner.",
                    static_cast<double>(traffic.runs_queued));
        write_gauge(out, "concurrency_limit", "Requests allowed at the server.", traffic.concurrency_limit);
        write_gauge(out, "server_rate_limit",
                    "Requests per second that the server accepts now; +Inf: no limit.",
                    traffic.server_rate_limit ? traffic.server_rate_limit->per_second
                                              : std::numeric_limits<double>::infinity());
        write_gauge(out, "server_warm_up_seconds", "Remaining warm-up of the server; 0: warm.",
                    to_seconds(traffic.warm_up_remaining));
        write_gauge(out, "suspected_requests",
                    "Requests that may have ended servers, with those in quarantine.",
                    static_cast<double>(traffic.suspected_requests));
        write_gauge(out, "quarantined_requests", "Requests that are not run because they end servers.",
                    static_cast<double>(traffic.quarantined_requests));
        write_gauge(out, "evacuated_data_centres", "Data centres whose servers get no new requests.",
                    static_cast<double>(traffic.evacuated_data_centres));
        write_gauge(out, "service_seconds", "Service time of the server now.",
                    to_seconds(traffic.service_time));
        write_gauge(out, "ledger_records", "Requests remembered.",
                    static_cast<double>(traffic.ledger_records));
        write_gauge(out, "open_links", "Links to owners.", static_cast<double>(traffic.open_links));
        write_gauge(out, "link_assembly_bytes", "Bytes of incomplete large messages from other nodes.",
                    static_cast<double>(gauges.link_bytes_in_assembly));
        write_gauge(out, "measurements_last_second", "Measurements of the last second.",
                    traffic.measurements_last_second);
        write_gauge(out, "measuring_budget", "Measurements allowed per second.", gauges.measuring_budget);
        write_gauge(out, "plan_version", "Version of the plan in force.",
                    static_cast<double>(control.digest.version));
        write_gauge(out, "plan_age_seconds", "Since the plan came into force here.",
                    to_seconds(control.plan_age));
        write_gauge(out, "plan_confirmed_age_seconds",
                    "Since a reader saw the plan at the configuration service.",
                    to_seconds(control.plan_confirmed_age));
        write_gauge(out, "plan_conflict", "1 if another content of the same version was seen.",
                    control.conflict ? 1 : 0);
        write_gauge(out, "reader", "1 if this node reads the configuration service.", control.reader ? 1 : 0);
        write_gauge(out, "guests", "Nodes that this node updates though their server is not listed.",
                    static_cast<double>(control.guests));
        write_gauge(out, "members", "Nodes known.", static_cast<double>(control.members.size()));
        write_memory(out, gauges.memory);
    }

    static void write_memory(std::ostream& out, const byte_budget_usage& memory) {
        write_gauge(out, "held_bytes_limit", "Bytes that may be held for callers, servers and nodes.",
                    static_cast<double>(memory.limit));
        out << "# HELP cornelpier_held_bytes Bytes held, by kind.\n# TYPE cornelpier_held_bytes gauge\n";
        for (std::size_t n = 0; n < held_bytes_kinds; ++n) {
            out << "cornelpier_held_bytes{kind=\"" << to_string(static_cast<held_bytes>(n)) << "\"} "
                << memory.by_kind.at(n) << '\n';
        }
        out << "# HELP cornelpier_held_bytes_refusals_total Times that the budget had no room.\n"
               "# TYPE cornelpier_held_bytes_refusals_total counter\ncornelpier_held_bytes_refusals_total "
            << memory.refusals << '\n';
    }

    void write_counters(std::ostream& out) const {
        std::string_view previous;
        for (const auto& [key, value] : m_counters) {
            const auto name = counter_name(key.first);
            if (name != previous) {
                out << "# HELP cornelpier_" << name << "_total Count since the start.\n# TYPE cornelpier_"
                    << name << "_total counter\n";
                previous = name;
            }
            out << "cornelpier_" << name << "_total{service=\"" << escape_label(key.second.value()) << "\"} "
                << value << '\n';
        }
    }

    void write_latencies(std::ostream& out) const {
        out << "# HELP cornelpier_call_seconds From arrival to answer at this entry.\n"
               "# TYPE cornelpier_call_seconds histogram\n";
        for (const auto& [key, series] : m_latencies) {
            const std::string labels = "service=\"" + escape_label(key.first.value()) + "\",verdict=\"" +
                                       std::string{to_string(key.second)} + '"';
            write_series(out, labels, series);
        }
    }

    mutable std::mutex m_mutex;
    std::map<std::pair<metric, service_id>, double> m_counters;
    std::map<std::pair<service_id, verdict>, latency_series> m_latencies;
    std::map<service_id, latency_window> m_windows;
};

metrics::metrics() : m_implementation(std::make_unique<implementation>()) {}

metrics::~metrics() = default;

void metrics::add(const record_metric& observation, time_point now) {
    m_implementation->add(observation, now);
}

std::string metrics::exposition(const metrics_gauges& gauges) const {
    return m_implementation->exposition(gauges);
}

std::map<service_id, latency_window::summary> metrics::last_minute(time_point now) const {
    return m_implementation->last_minute(now);
}

} // namespace cornelpier
