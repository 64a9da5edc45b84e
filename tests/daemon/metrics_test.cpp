#include "daemon/metrics/metrics.hpp"

#include <catch2/catch.hpp>

namespace cornelpier {

namespace {

using namespace std::chrono_literals;

record_metric latency(duration value, verdict outcome = verdict::ran) {
    return {metric::call_latency, service_id{"comenzi"}, outcome, static_cast<double>(value.count())};
}

} // namespace

TEST_CASE("every counter has a name", "[metrics]") {
    metrics values;
    for (const metric kind : {metric::retry, metric::run_rate_limited, metric::run_quarantined,
                              metric::server_crashed, metric::run_evacuated, metric::run_refused_cold}) {
        values.add({kind, service_id{"s"}, verdict::unknown, 1}, time_point{});
    }
    const std::string text = values.exposition({});
    CHECK(text.find(R"(cornelpier_quarantine_rejections_total{service="s"} 1)") != std::string::npos);
    CHECK(text.find(R"(cornelpier_server_crashes_total{service="s"} 1)") != std::string::npos);
    CHECK(text.find(R"(cornelpier_runs_evacuated_total{service="s"} 1)") != std::string::npos);
    CHECK(text.find(R"(cornelpier_runs_refused_cold_total{service="s"} 1)") != std::string::npos);
    CHECK(text.find("cornelpier_server_warm_up_seconds 0") != std::string::npos);
}

TEST_CASE("histogram buckets are cumulative and the last one equals the count", "[metrics]") {
    metrics values;
    values.add(latency(3ms), time_point{1s});
    values.add(latency(40s), time_point{1s});

    const std::string text = values.exposition({});
    CHECK(text.find(R"(_bucket{service="comenzi",verdict="ran",le="0.002"} 0)") != std::string::npos);
    CHECK(text.find(R"(_bucket{service="comenzi",verdict="ran",le="0.005"} 1)") != std::string::npos);
    CHECK(text.find(R"(_bucket{service="comenzi",verdict="ran",le="+Inf"} 2)") != std::string::npos);
    CHECK(text.find(R"(_count{service="comenzi",verdict="ran"} 2)") != std::string::npos);
}

TEST_CASE("service names are escaped in the text format", "[metrics]") {
    metrics values;
    values.add({metric::retry, service_id{"a\"b\\c\nd"}, verdict::ran, 1}, time_point{1s});
    CHECK(values.exposition({}).find(R"(cornelpier_retries_total{service="a\"b\\c\nd"} 1)") !=
          std::string::npos);
}

TEST_CASE("the last minute excludes older calls and its quantiles stay within the bucket error",
          "[metrics]") {
    metrics values;
    values.add(latency(1s, verdict::unknown), time_point{1s});
    for (int n = 0; n < 100; ++n) {
        values.add(latency(20ms), time_point{65s});
    }

    const service_id service{"comenzi"};
    const auto summary = values.last_minute(time_point{70s}).at(service);
    CHECK(summary.unknown == 0);
    CHECK(summary.ran == 100);
    CHECK(summary.p99 >= 20ms);
    CHECK(summary.p99 <= 23ms);
    CHECK(values.last_minute(time_point{200s}).at(service).ran == 0);
}

} // namespace cornelpier
