#include "cornelpier/quarantine/suspect_table.hpp"

#include "tests/entry/entry_fixture.hpp"

#include <catch2/catch.hpp>

namespace cornelpier::test {

namespace {

using std::chrono::seconds;

/// The request that `entry_fixture::call` sends.
http_request request_of(const std::string& method) {
    return {method, "/x", {}, make_body()};
}

/// @param crashes ends of servers at which the request was in progress.
suspect_update update_about(const std::string& method, std::uint64_t crashes) {
    suspect_notice notice;
    notice.fingerprint = fingerprint_of(service_id{"shop"}, request_of(method));
    for (std::uint64_t n = 1; n <= crashes; ++n) {
        notice.crashes.push_back({incarnation{n}, 1});
    }
    return {service_id{"shop"}, {notice}};
}

struct quarantine_fixture : entry_fixture {
    using entry_fixture::entry_fixture;

    /// Opens the links that are wanted.
    /// @return the runs sent since the last call.
    std::vector<std::pair<link_id, run_request>> runs() {
        open_links();
        return sent<run_request>();
    }

    /// Opens links to all targets, which are told about an unrelated request.
    void link_all() {
        suspect_update update = update_about("GET", 1);
        update.suspects.front().fingerprint = {1, 1};
        entry.publish_suspects(update);
        open_links();
        actions.clear();
    }

    link_id link_to(const target_id& target) const {
        return std::ranges::find(peers, target, [](const auto& peer) { return peer.second; })->first;
    }
};

const target_id first_target{"shop-1"};
const target_id second_target{"shop-2"};

} // namespace

TEST_CASE("a request in quarantine is rejected at once, with the rest of the quarantine",
          "[entry][quarantine]") {
    quarantine_fixture it;
    it.link_all();
    it.entry.on_message(it.link_to(first_target), update_about("GET", 2));
    it.advance(seconds{4});
    it.actions.clear();
    it.call("GET");
    CHECK(it.runs().empty());
    const auto answers = it.take<answer_caller>();
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().response.status == 503);
    CHECK(answers.front().outcome == verdict::not_run);
    CHECK(answers.front().retry_after >= suspect_table::first_quarantine - seconds{4});

    // Other requests are not affected.
    it.call("POST");
    CHECK(it.runs().size() == 1);
}

TEST_CASE("a request with a key in quarantine is not said to have never run", "[entry][quarantine]") {
    quarantine_fixture it;
    it.link_all();
    it.entry.on_message(it.link_to(first_target), update_about("POST", 2));
    it.call("POST", "key-1");
    const auto answers = it.take<answer_caller>();
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().outcome == verdict::unknown);
}

TEST_CASE("a lost run of a request in quarantine is not tried again", "[entry][quarantine]") {
    quarantine_fixture it;
    it.link_all();
    it.call("GET");
    const auto run = it.runs().at(0);
    it.entry.on_message(run.first, update_about("GET", 2));
    it.answer_run(run, verdict::unknown);
    CHECK(it.runs().empty());
    const auto answers = it.take<answer_caller>();
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().response.status == 502);
    CHECK(answers.front().outcome == verdict::unknown);
}

TEST_CASE("a refusal because of a quarantine is final, and the entry remembers it", "[entry][quarantine]") {
    quarantine_fixture it;
    it.link_all();
    it.call("GET");
    const auto run = it.runs().at(0);
    run_response refused;
    refused.attempt = run.second.attempt;
    refused.outcome = verdict::not_run;
    refused.reason = refusal::quarantined;
    refused.retry_after = seconds{30};
    it.entry.on_message(run.first, refused);
    CHECK(it.runs().empty());
    CHECK(it.take<answer_caller>().at(0).outcome == verdict::not_run);

    it.call("GET");
    CHECK(it.runs().empty());
    it.advance(seconds{31});
    it.actions.clear();
    it.call("GET");
    CHECK(it.runs().size() == 1);
}

TEST_CASE("a suspect goes to one target, as confined, also if only an owner knows", "[entry][quarantine]") {
    quarantine_fixture it;
    it.link_all();
    it.call("GET");
    const auto run = it.runs().at(0);
    CHECK_FALSE(run.second.confined);
    it.answer_run(run, verdict::not_run, refusal::suspected);
    const auto again = it.runs();
    REQUIRE(again.size() == 1);
    CHECK(again.front().second.confined);
    CHECK_FALSE(again.front().second.wait_limit);
    const target_id chosen = it.peers.at(again.front().first);

    it.entry.on_message(it.link_to(first_target), update_about("GET", 1));
    for (int n = 0; n < 5; ++n) {
        it.call("GET");
        CHECK(it.peers.at(it.runs().at(0).first) == chosen);
    }
}

TEST_CASE("suspects get no hedges", "[entry][quarantine]") {
    quarantine_fixture it;
    it.link_all();
    it.entry.on_message(it.link_to(first_target), update_about("GET", 1));
    it.call("GET");
    CHECK(it.runs().size() == 1);
    it.advance(milliseconds{200});
    CHECK(it.runs().empty());
}

TEST_CASE("news about suspects is passed on once, to the other owners of the service",
          "[entry][quarantine]") {
    quarantine_fixture it{3};
    it.link_all();
    it.entry.on_message(it.link_to(first_target), update_about("GET", 1));
    const auto passed_on = it.sent<suspect_update>();
    CHECK(passed_on.size() == 2);
    for (const auto& sent : passed_on) {
        CHECK(it.peers.at(sent.first) != first_target);
    }
    it.entry.on_message(it.link_to(second_target), update_about("GET", 1));
    CHECK(it.sent<suspect_update>().empty());
}

TEST_CASE("an owner whose link was lost is told again when it is back", "[entry][quarantine]") {
    quarantine_fixture it;
    it.link_all();
    it.entry.on_message(it.link_to(first_target), update_about("GET", 2));
    it.actions.clear();
    it.entry.on_link_closed(it.link_to(second_target));
    const auto opened = it.take<open_link>();
    REQUIRE(opened.size() == 1);
    CHECK(opened.front().peer == second_target);
    it.entry.on_link_opened(opened.front().link);
    CHECK(it.sent<suspect_update>().size() == 1);
}

TEST_CASE("a lost link is not opened again for suspects that its owner would not be told of",
          "[entry][quarantine]") {
    quarantine_fixture it;
    it.link_all();
    it.entry.on_message(it.link_to(first_target), update_about("GET", 1));
    it.advance(suspect_table::recent_time + duration{1});
    it.actions.clear();
    it.entry.on_link_closed(it.link_to(second_target));
    CHECK(it.take<open_link>().empty());
}

TEST_CASE("a suspect waits for a link that is down if no other target is left", "[entry][quarantine]") {
    quarantine_fixture it;
    it.link_all();
    it.entry.on_message(it.link_to(first_target), update_about("GET", 1));
    it.call("GET");
    const auto refused = it.runs().at(0);
    const target_id other = it.peers.at(refused.first) == first_target ? second_target : first_target;
    it.entry.on_link_closed(it.link_to(other));
    for (const auto& opened : it.take<open_link>()) {
        it.entry.on_link_closed(opened.link); // The link backs off now.
    }
    it.actions.clear();
    it.answer_run(refused, verdict::not_run, refusal::server_down);
    CHECK(it.take<answer_caller>().empty());
    it.advance(milliseconds{200});
    const auto runs = it.runs();
    REQUIRE(runs.size() == 1);
    CHECK(it.peers.at(runs.front().first) == other);
}

TEST_CASE("without suspects, a lost idle link is not opened again", "[entry][quarantine]") {
    quarantine_fixture it{1};
    it.call("GET");
    it.answer_run(it.runs().at(0), verdict::ran, refusal::none, 200);
    it.entry.on_link_closed(it.link_to(first_target));
    CHECK(it.take<open_link>().empty());
}

TEST_CASE("an end of a server opens a bounded number of links, more when the cause is found",
          "[entry][quarantine]") {
    entry_fixture it{40};
    it.entry.publish_suspects(update_about("GET", 1));
    CHECK(it.take<open_link>().size() == 12);

    entry_fixture other{40};
    suspect_update found = update_about("GET", 2);
    found.suspects.front().quarantine_left = seconds{60};
    found.suspects.front().quarantine_length = seconds{60};
    other.entry.publish_suspects(found);
    CHECK(other.take<open_link>().size() == 39); // All but its own.
}

TEST_CASE("a success clears the suspicion at the entry", "[entry][quarantine]") {
    quarantine_fixture it;
    it.link_all();
    it.entry.on_message(it.link_to(first_target), update_about("GET", 1));
    it.call("GET");
    it.answer_run(it.runs().at(0), verdict::ran, refusal::none, 200);
    it.call("GET");
    CHECK_FALSE(it.runs().at(0).second.confined);
}

} // namespace cornelpier::test
