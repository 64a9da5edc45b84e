#include "cornelpier/admission/warm_up_limiter.hpp"

#include <catch2/catch.hpp>

namespace cornelpier {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr time_point start{seconds{100}};
const warm_up_plan three_seconds{seconds{3}, rate{5.3}};

warm_up_limiter make_limiter(bool reports_expected = true) {
    warm_up_limiter result{start};
    result.configure(three_seconds, reports_expected, start);
    return result;
}

warm_up_report cold_for(duration remaining) {
    return {remaining};
}

} // namespace

// Guards against limits for services that did not ask for one.
TEST_CASE("without a warm-up rate a server never counts as cold", "[warm-up]") {
    warm_up_limiter it{start};
    it.configure(std::nullopt, true, start);
    it.on_report(cold_for(seconds{3}), start);
    it.on_new_process(warm_up_cause::server_ended, start);
    CHECK_FALSE(it.is_cold(start));
    CHECK_FALSE(it.needs_report(start));
    CHECK_FALSE(it.limit(start));
    CHECK(it.remaining(start) == duration::zero());
}

// Guards against full traffic to a server whose state a restarted owner does not know.
TEST_CASE("a server counts as cold until its first report", "[warm-up]") {
    warm_up_limiter it = make_limiter();
    CHECK(it.is_cold(start + minutes{5}));
    CHECK(it.limit(start) == rate{5.3});
    CHECK(it.needs_report(start));
    CHECK_FALSE(it.ends_at());
    CHECK(it.remaining(start) == seconds{3});
    it.on_report({}, start + minutes{5});
    CHECK_FALSE(it.is_cold(start + minutes{5}));
    CHECK_FALSE(it.needs_report(start + minutes{5}));
}

// Guards against a limit that ends too early or never, and against a start without a fresh report after it.
TEST_CASE("a reported warm-up ends with a report, or by the clock if none arrives", "[warm-up]") {
    warm_up_limiter it = make_limiter();
    it.on_report(cold_for(milliseconds{1500}), start);
    CHECK(it.cause() == warm_up_cause::reported);
    CHECK(it.remaining(start + milliseconds{500}) == seconds{1});
    CHECK_FALSE(it.needs_report(start + seconds{1}));
    const time_point end = start + milliseconds{1500};
    CHECK(it.confirm_at() == end);
    CHECK(it.is_cold(end));
    CHECK(it.needs_report(end));

    warm_up_limiter silent = it;
    CHECK_FALSE(silent.is_cold(end + warm_up_limiter::confirmation_time));

    warm_up_limiter cold_again = it;
    cold_again.on_report(cold_for(seconds{3}), end);
    CHECK(cold_again.is_cold(end + seconds{2}));

    it.on_report(cold_for(duration::zero()), end);
    CHECK_FALSE(it.is_cold(end));
    CHECK_FALSE(it.needs_report(end));
}

// Guards against a burst that follows a report, and against runs that a report on its way does not cover.
TEST_CASE("a report proves that the server is warm for a few runs", "[warm-up]") {
    warm_up_limiter it = make_limiter();
    it.on_report_requested();
    it.on_report({}, start);
    const auto start_runs = [&](std::size_t count) {
        for (std::size_t n = 0; n < count; ++n) {
            it.on_start();
        }
    };
    const std::size_t most = it.max_unproved_starts();
    CHECK(most == 10);
    start_runs(most / 2 - 1);
    CHECK_FALSE(it.needs_report(start + minutes{1}));
    start_runs(1);
    CHECK(it.needs_report(start));

    it.on_report_requested();
    start_runs(2);
    it.on_report_requested();
    it.on_report({}, start);
    CHECK_FALSE(it.needs_report(start));
    start_runs(most / 2 - 2);
    CHECK(it.needs_report(start));
    CHECK_FALSE(it.is_cold(start));
    start_runs(most / 2);
    CHECK(it.is_cold(start));
    CHECK(it.cause() == warm_up_cause::unconfirmed);
    CHECK_FALSE(it.ends_at());

    // The second request was sent before these runs started.
    it.on_report({}, start);
    CHECK(it.needs_report(start));
    it.on_report_requested();
    it.on_report_failed();
    CHECK(it.needs_report(start));
    it.on_report_requested();
    it.on_report({}, start);
    CHECK_FALSE(it.needs_report(start));
    CHECK_FALSE(it.is_cold(start));
}

// Guards against full traffic to the process that follows one that was warm.
TEST_CASE("what a server reported does not hold for the next process", "[warm-up]") {
    for (const auto cause : {warm_up_cause::server_ended, warm_up_cause::new_process}) {
        warm_up_limiter it = make_limiter();
        it.on_report({}, start);
        it.on_new_process(cause, start + seconds{1});
        CHECK(it.is_cold(start + minutes{1}));
        CHECK(it.needs_report(start + seconds{1}));
        CHECK(it.cause() == cause);
        it.on_report({}, start + minutes{1});
        CHECK_FALSE(it.is_cold(start + minutes{1}));
    }
}

// Guards against a limit without end where the plan allows no reports.
TEST_CASE("without reports a server counts as cold for the length of a warm-up", "[warm-up]") {
    warm_up_limiter it = make_limiter(false);
    CHECK_FALSE(it.needs_report(start));
    CHECK(it.is_cold(start + milliseconds{2999}));
    CHECK_FALSE(it.is_cold(start + seconds{3}));
    it.on_new_process(warm_up_cause::server_ended, start + seconds{10});
    it.on_listed(seconds{5}, start + seconds{10});
    CHECK(it.is_cold(start + milliseconds{14'999}));
    CHECK_FALSE(it.is_cold(start + seconds{15}));
}

// Guards against a plan change that forgets what the server reported before.
TEST_CASE("a plan that adds or withdraws the rate applies at once", "[warm-up]") {
    warm_up_limiter it{start};
    it.configure(std::nullopt, true, start);
    it.on_report(cold_for(seconds{2}), start);
    it.configure(three_seconds, true, start + seconds{1});
    CHECK(it.is_cold(start + seconds{1}));
    CHECK(it.remaining(start + seconds{1}) == seconds{1});
    it.configure(std::nullopt, true, start + seconds{1});
    CHECK_FALSE(it.is_cold(start + seconds{1}));

    warm_up_limiter without_reports = make_limiter();
    without_reports.configure(three_seconds, false, start + seconds{1});
    CHECK_FALSE(without_reports.is_cold(start + seconds{4}));
}

// Guards against a malformed time that ends a warm-up, or that limits the server for ever.
TEST_CASE("a malformed remaining time changes nothing that is known", "[warm-up]") {
    const warm_up_report malformed{std::nullopt, true, true};
    warm_up_limiter it = make_limiter();
    it.on_report(cold_for(seconds{2}), start);
    it.on_report(malformed, start + seconds{1});
    CHECK(it.is_cold(start + milliseconds{1900}));

    warm_up_limiter warm = make_limiter();
    warm.on_report({}, start);
    warm.on_report(malformed, start);
    CHECK_FALSE(warm.is_cold(start));

    warm_up_limiter unknown = make_limiter();
    unknown.on_report(malformed, start);
    unknown.on_report(malformed, start + seconds{2});
    CHECK(unknown.is_cold(start + milliseconds{2999}));
    CHECK_FALSE(unknown.is_cold(start + seconds{3}));
}

// Guards against an error response of a server that is still starting counting as proof that it is warm.
TEST_CASE("an unhealthy report without a remaining time proves nothing", "[warm-up]") {
    warm_up_limiter it = make_limiter();
    it.on_report({std::nullopt, false}, start);
    CHECK(it.is_cold(start));
    it.on_report({seconds{1}, false}, start);
    CHECK(it.remaining(start) == seconds{1});
}

} // namespace cornelpier
