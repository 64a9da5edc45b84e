#include "tests/entry/entry_fixture.hpp"

#include <catch2/catch.hpp>

namespace cornelpier::test {

namespace {

entry_options platform_options() {
    entry_options options;
    options.status_implies_not_run = true;
    options.allow_leaving_targets = false;
    options.slow_start = false;
    options.probes = false;
    return options;
}

/// Entry with the platform's options and a plan with one route for lookups and one for orders.
class routed_entry : public entry_fixture {
  public:
    explicit routed_entry(std::size_t targets = 2) : entry_fixture(targets, platform_options()) {
        route lookups = make_route("lookups", "/l/");
        lookups.idempotent = true;
        lookups.max_attempts = 2;
        current_plan->routes =
            std::make_shared<const route_table>(std::vector{lookups, make_route("orders", "/o/")});
        for (auto& it : current_plan->services[0].targets) {
            it.instance = "i-" + it.id.value();
        }
        publish();
    }

    static route make_route(const std::string& name, const std::string& prefix) {
        route result;
        result.name = name;
        result.host = "a.example";
        result.path_prefix = prefix;
        result.timeout = milliseconds{1000};
        result.objective = milliseconds{500};
        result.weighted_services = {{service_id{"shop"}, 1}};
        return result;
    }

    call_id call_path(const std::string& path, const std::string& host = "a.example",
                      std::optional<duration> deadline = std::nullopt) {
        call_arrived event;
        event.call = call_id{++last_call};
        event.service = service_id{"a"};
        event.host = host;
        event.request.method = "GET";
        event.request.path = path;
        event.deadline = deadline;
        entry.on_call(event);
        return event.call;
    }

    answer_caller take_answer() {
        const auto all = take<answer_caller>();
        REQUIRE(all.size() == 1);
        return all.front();
    }

    /// Opens the requested links.
    /// @return the only run that was sent.
    std::pair<link_id, run_request> sent_run() {
        open_links();
        const auto all = sent<run_request>();
        REQUIRE(all.size() == 1);
        return all.front();
    }
};

} // namespace

TEST_CASE("a call without a matching route gets 404, others go to the service of their route",
          "[entry][routes]") {
    routed_entry it;
    it.call_path("/x/1");
    CHECK(it.take_answer().response.status == 404);
    it.call_path("/l/1", "b.example");
    CHECK(it.take_answer().response.status == 404);

    it.call_path("/l/1");
    const auto [link, message] = it.sent_run();
    CHECK(message.service == service_id{"shop"});
    CHECK(message.route == "lookups");
    CHECK(message.idempotent);
    CHECK(message.objective <= milliseconds{500});
    CHECK(message.instance == "i-" + it.peers[link].value());
}

TEST_CASE("calls before the first plan get 503 and Retry-After", "[entry][routes]") {
    node_identity identity{target_id{"x"},      incarnation{1},  vm_id{"v"},
                           data_centre_id{"d"}, service_id{"s"}, {}};
    timer_service timers{time_point{std::chrono::seconds{1}}};
    traffic_actions actions;
    entry_manager entry{identity, timers, random_source{1}, platform_options()};
    entry.set_output(actions);
    entry.on_call({call_id{1}, service_id{"a"}, {}, {}, {}, 0, false, "a.example"});
    const auto* answer = std::get_if<answer_caller>(&actions.back());
    REQUIRE(answer != nullptr);
    CHECK(answer->response.status == 503);
    CHECK(answer->retry_after > duration::zero());
}

TEST_CASE("each target gets one attempt with a wait limit before one without", "[entry][routes]") {
    routed_entry it(3);
    it.call_path("/o/1");
    std::vector<target_id> asked;
    for (int n = 0; n < 3; ++n) {
        const auto routed_run = it.sent_run();
        CHECK(routed_run.second.wait_limit);
        asked.push_back(it.peers[routed_run.first]);
        it.answer_run(routed_run, verdict::not_run, refusal::wait_limit);
    }
    std::ranges::sort(asked);
    CHECK(std::ranges::adjacent_find(asked) == asked.end());
    const auto last = it.sent_run();
    CHECK_FALSE(last.second.wait_limit);
    it.answer_run(last, verdict::not_run, refusal::deadline);
    const auto answer = it.take_answer();
    CHECK(answer.response.status == 503);
    CHECK(answer.outcome == verdict::not_run);
    CHECK(answer.retry_after > duration::zero());
    CHECK(answer.retry_after <= milliseconds{200});
}

// Answers within the objective are equally good, but traffic between data centres has a price.
TEST_CASE("a call waits in its own data centre for up to half of its slack", "[entry][routes]") {
    routed_entry it;
    auto lookups = routed_entry::make_route("lookups", "/l/");
    lookups.idempotent = true;
    lookups.objective = milliseconds{1500};
    lookups.timeout = milliseconds{4000};
    it.current_plan = std::make_shared<plan>(*it.current_plan);
    it.current_plan->routes = std::make_shared<const route_table>(std::vector{lookups});
    it.publish();
    it.call_path("/l/1");
    it.answer_run(it.sent_run(), verdict::ran, refusal::none, 200);

    // The slack is 1,000 to 1,500 ms, depending on the measured latency.
    const auto target_with = [&](duration own_wait) {
        std::pair<link_id, run_request> routed_run;
        for (const auto& [link, target] : it.peers) {
            auto load = it.load_of(target);
            load.expected_wait = target == target_id{"shop-1"} ? own_wait : duration::zero();
            it.entry.on_message(link, load);
        }
        it.call_path("/l/2");
        routed_run = it.sent_run();
        it.answer_run(routed_run, verdict::ran, refusal::none, 200);
        return it.peers.at(routed_run.first);
    };
    CHECK(target_with(milliseconds{0}) == target_id{"shop-1"});
    CHECK(target_with(milliseconds{250}) == target_id{"shop-1"});
    CHECK(target_with(milliseconds{900}) == target_id{"shop-2"});
}

TEST_CASE("a status that implies not-run is not sent for a request that may have run", "[entry][routes]") {
    routed_entry it;
    it.call_path("/o/1");
    auto routed_run = it.sent_run();
    it.answer_run(routed_run, verdict::unknown);
    CHECK(it.take_answer().response.status == 502);

    // Nor is a server's own status forwarded without proof that the request did not run.
    for (const int status : {408, 421, 429, 503}) {
        it.call_path("/o/2");
        routed_run = it.sent_run();
        it.answer_run(routed_run, verdict::unknown, refusal::none, status);
        CHECK(it.take_answer().response.status == 502);
    }
    it.call_path("/o/2");
    routed_run = it.sent_run();
    it.answer_run(routed_run, verdict::unknown, refusal::none, 500);
    CHECK(it.take_answer().response.status == 500);

    it.call_path("/o/3");
    routed_run = it.sent_run();
    it.advance(milliseconds{1001});
    CHECK(it.take_answer().response.status == 504);
}

TEST_CASE("a call ends at the timeout of its route, and before its caller's deadline", "[entry][routes]") {
    routed_entry it;
    it.call_path("/o/1", "a.example", milliseconds{5000});
    it.sent_run();
    it.advance(milliseconds{999});
    CHECK(it.take<answer_caller>().empty());
    it.advance(milliseconds{2});
    it.take_answer();

    it.call_path("/o/2", "a.example", milliseconds{400});
    it.sent_run();
    it.advance(milliseconds{381});
    it.take_answer();
}

TEST_CASE("a request is sent to no more servers than its route allows", "[entry][routes]") {
    routed_entry it(4);
    it.call_path("/l/1");
    it.answer_run(it.sent_run(), verdict::unknown, refusal::none, 500);
    it.answer_run(it.sent_run(), verdict::unknown, refusal::none, 500);
    const auto answer = it.take_answer();
    CHECK(answer.response.status == 500);
}

TEST_CASE("retries of all entries together stay within the fleet's limit", "[entry][routes]") {
    routed_entry it(2);
    it.current_plan = std::make_shared<plan>(*it.current_plan);
    it.current_plan->retry_budget = fleet_retry_budget{0.1, 4};
    it.publish();
    std::size_t repeats = 0;
    for (int n = 0; n < 100; ++n) {
        it.call_path("/l/" + std::to_string(n));
        it.open_links();
        for (auto runs = it.sent<run_request>(); !runs.empty(); runs = it.sent<run_request>()) {
            repeats += runs.front().second.attempt.number > 1 ? 1 : 0;
            it.answer_run(runs.front(), verdict::unknown, refusal::none, 500);
            it.open_links();
        }
    }
    // Two entries share a capacity of four; each call adds a tenth.
    CHECK(repeats <= 12);
    CHECK(repeats >= 8);
}

// An owner with a congested link or without CPU time may be silent for a while although it works on its runs.
TEST_CASE("the fate of a lookup on a silent link is queried on a new link",
          "[entry][routes][field-reports]") {
    routed_entry it(1);
    it.call_path("/l/1");
    const auto routed_run = it.sent_run();
    it.advance(milliseconds{500});
    CHECK(it.take<answer_caller>().empty());

    SECTION("the caller disconnects: it is cancelled on the new link") {
        it.entry.on_abandoned({call_id{it.last_call}});
        it.open_links();
        const auto cancelled = it.sent<cancel_attempt>();
        REQUIRE(cancelled.size() == 1);
        CHECK(cancelled[0].second.attempt == routed_run.second.attempt);
        return;
    }
    it.open_links();
    CHECK(it.sent<run_request>().empty());
    const auto asked = it.sent<fate_query>();
    REQUIRE(asked.size() == 1);
    CHECK(asked[0].second.attempt == routed_run.second.attempt);

    SECTION("running: the answer arrives on the new link") {
        it.send_fate(asked[0].first, routed_run.second.attempt, fate_outcome::running);
        it.advance(milliseconds{25});
        CHECK(it.sent<fate_query>().size() == 1);
        it.answer_run({asked[0].first, routed_run.second}, verdict::ran, refusal::none, 200);
        CHECK(it.take_answer().response.status == 200);
    }
    SECTION("unknown to the owner: it is sent again") {
        it.send_fate(asked[0].first, routed_run.second.attempt, fate_outcome::unknown);
        const auto again = it.sent<run_request>();
        REQUIRE(again.size() == 1);
        CHECK(again[0].second.attempt.number == 2);
    }
    SECTION("the new link closes without a reply: it is sent again") {
        it.entry.on_link_closed(asked[0].first);
        it.open_links();
        const auto again = it.sent<run_request>();
        REQUIRE(again.size() == 1);
        CHECK(again[0].second.attempt.number == 2);
    }
}

// Observed fault: orders that waited in owners' queues ran after their callers had disconnected.
TEST_CASE("an order is cancelled at its owner if the caller disconnects", "[entry][routes]") {
    routed_entry it(1);
    it.call_path("/o/1");
    const auto routed_run = it.sent_run();
    it.entry.on_abandoned({call_id{it.last_call}});
    const auto cancelled = it.sent<cancel_attempt>();
    REQUIRE(cancelled.size() == 1);
    CHECK(cancelled[0].second.attempt == routed_run.second.attempt);
}

TEST_CASE("a leaving target is not used even if there is no other", "[entry][routes]") {
    routed_entry it(1);
    it.vm_states[target_id{"shop-1"}] = vm_state::leaving;
    it.publish();
    it.call_path("/l/1");
    CHECK(it.take_answer().response.status == 503);
}

// Guards against repeats of downloads, which take the bandwidth that the first ones wait for.
TEST_CASE("calls of an idempotent route with large responses are run like orders", "[entry][routes]") {
    routed_entry it;
    route downloads = routed_entry::make_route("downloads", "/d/");
    downloads.idempotent = true;
    downloads.large_responses = true;
    it.current_plan->routes = std::make_shared<const route_table>(std::vector{downloads});
    it.publish();
    it.call_path("/d/1");
    const auto run = it.sent_run().second;
    CHECK_FALSE(run.idempotent);
    CHECK(run.permit);
}

// Guards against a rejection in the eyes of callers whose request has run but whose response was not stored.
TEST_CASE("the response to a run whose response was lost promises nothing", "[entry][routes]") {
    routed_entry it;
    it.call_path("/o/1");
    const auto run = it.sent_run();
    run_response reply;
    reply.attempt = run.second.attempt;
    reply.outcome = verdict::ran;
    it.entry.on_message(run.first, reply);
    CHECK(it.take_answer().response.status == 502);
}

} // namespace cornelpier::test
