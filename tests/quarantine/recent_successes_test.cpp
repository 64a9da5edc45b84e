#include "cornelpier/quarantine/recent_successes.hpp"

#include <catch2/catch.hpp>

namespace cornelpier {

namespace {

const time_point start{std::chrono::seconds{1000}};

run_trace trace_of(const std::string& path, std::string body = {}) {
    return make_trace(service_id{"bins"}, {"GET", path, {}, make_body(std::move(body))});
}

} // namespace

TEST_CASE("a request that ended well is remembered for a short time", "[quarantine]") {
    recent_successes it;
    const run_trace trace = trace_of("/status");
    CHECK_FALSE(it.contains(fingerprint_of(trace), start));
    it.add(trace, start);
    CHECK(it.contains(fingerprint_of(trace), start + recent_successes::max_age));
    CHECK_FALSE(it.contains(fingerprint_of(trace), start + recent_successes::max_age + duration{1}));
    CHECK_FALSE(it.contains(fingerprint_of(trace_of("/other")), start));
}

TEST_CASE("requests with large bodies are not remembered as successes", "[quarantine]") {
    recent_successes it;
    const run_trace trace = trace_of("/upload", std::string(recent_successes::max_body_bytes + 1, 'a'));
    it.add(trace, start);
    CHECK_FALSE(it.contains(fingerprint_of(trace), start));
}

} // namespace cornelpier
