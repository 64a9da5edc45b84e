#include "cornelpier/quarantine/suspect_table.hpp"

#include "tests/owner/owner_fixture.hpp"

#include <catch2/catch.hpp>

namespace cornelpier::owner_test {

namespace {

/// An owner that is connected to an entry and has a plan.
struct crash_fixture : owner_fixture {
    crash_fixture() {
        service.slots = 8;
        publish();
        receive(hello{target_id{"entry"}, entry, data_centre_id{"dc1"}, 1});
        actions.clear();
    }

    run_request lookup_of(std::uint64_t sequence, const std::string& path) {
        run_request message = lookup(sequence);
        message.request.path = path;
        return message;
    }

    /// Ends the server: the runs lose their connections, and the check finds nothing.
    void crash(const std::vector<run_id>& runs) {
        for (const run_id run : runs) {
            owner.on_server_failed({run, server_failure::connection_lost});
        }
        owner.on_server_checked({server_presence::absent});
    }

    suspicion level_of(const std::string& path) {
        suspect_table table;
        for (const auto& it : updates) {
            table.apply(it, timers.now());
        }
        return table.level(identity.service, lookup_of(0, path).request, timers.now());
    }

    /// Collects the updates sent so far.
    void take_updates() {
        for (auto& it : take_sent<suspect_update>()) {
            updates.push_back(it);
        }
    }

    std::vector<suspect_update> updates;
};

suspect_update crash_elsewhere(crash_fixture& it, const std::string& path) {
    suspect_notice notice;
    notice.fingerprint = fingerprint_of(it.identity.service, it.lookup_of(0, path).request);
    notice.crashes = {{incarnation{99}, 1}};
    return {it.identity.service, {notice}};
}

} // namespace

TEST_CASE("lost runs are answered after the entries have been told of the end of the server", "[crash]") {
    crash_fixture it;
    const run_id first = *it.submit(it.lookup_of(1, "/a"));
    const run_id second = *it.submit(it.lookup_of(2, "/b"));
    it.owner.on_server_failed({first, server_failure::connection_lost});
    it.owner.on_server_failed({second, server_failure::connection_lost});
    CHECK(it.take_actions<check_server>().size() == 1);
    CHECK(it.take_sent<run_response>().empty());

    it.owner.on_server_checked({server_presence::absent});
    const auto sent = it.take_actions<send_message>();
    REQUIRE(sent.size() == 3);
    CHECK(std::get<suspect_update>(sent[0].message).suspects.size() == 2);
    CHECK(std::get<run_response>(sent[1].message).outcome == verdict::unknown);
    CHECK(std::get<run_response>(sent[2].message).outcome == verdict::unknown);
}

TEST_CASE("the end of a server is told to the entries that lost a run and to the owners", "[crash]") {
    crash_fixture it;
    it.owner.on_message(owner_fixture::second_link,
                        hello{target_id{"e2"}, incarnation{3}, data_centre_id{"dc1"}, 1});
    std::vector<suspect_update> published;
    it.owner.set_suspect_publisher([&](const suspect_update& update) { published.push_back(update); });
    const run_id run = *it.submit(it.lookup_of(1, "/a"));
    it.actions.clear();
    it.crash({run});
    CHECK(published.size() == 1);
    for (const auto& sent : it.take_actions<send_message>()) {
        if (std::holds_alternative<suspect_update>(sent.message)) {
            CHECK(sent.link == owner_fixture::link);
        }
    }
}

TEST_CASE("a lost connection to a server that still listens names nobody", "[crash]") {
    for (const auto presence : {server_presence::listening, server_presence::unknown}) {
        crash_fixture it;
        const run_id run = *it.submit(it.lookup_of(1, "/a"));
        it.owner.on_server_failed({run, server_failure::connection_lost});
        it.owner.on_server_checked({presence});
        CHECK(it.take_sent<suspect_update>().empty());
    }
}

TEST_CASE("the end of a server that leaves names nobody", "[crash]") {
    crash_fixture it;
    const run_id run = *it.submit(it.lookup_of(1, "/a"));
    SECTION("by its report") {
        it.owner.on_server_report({true, true, 1});
    }
    SECTION("by the list of VMs") {
        it.publish(vm_state::leaving);
    }
    SECTION("by the plan") {
        it.service.targets.clear();
        it.publish();
    }
    it.actions.clear();
    it.crash({run});
    CHECK(it.take_sent<suspect_update>().empty());
}

TEST_CASE("a run that was answered before the check ended is no suspect", "[crash]") {
    crash_fixture it;
    const run_id answered = *it.submit(it.lookup_of(1, "/a"));
    const run_id lost = *it.submit(it.lookup_of(2, "/b"));
    it.owner.on_server_failed({lost, server_failure::connection_lost});
    it.respond(answered);
    it.owner.on_server_checked({server_presence::absent});
    it.take_updates();
    CHECK(it.level_of("/a") == suspicion::none);
    CHECK(it.level_of("/b") == suspicion::suspected);
}

TEST_CASE("a request that ended well at this server a moment ago is no suspect", "[crash]") {
    crash_fixture it;
    it.respond(*it.submit(it.lookup_of(1, "/frequent")));
    const run_id frequent = *it.submit(it.lookup_of(2, "/frequent"));
    const run_id other = *it.submit(it.lookup_of(3, "/other"));
    it.crash({frequent, other});
    it.take_updates();
    CHECK(it.level_of("/frequent") == suspicion::none);
    CHECK(it.level_of("/other") == suspicion::suspected);

    // An end that names nobody is not told.
    it.crash({*it.submit(it.lookup_of(4, "/frequent"))});
    CHECK(it.take_sent<suspect_update>().empty());
}

TEST_CASE("failures that arrive late belong to the end that was reported", "[crash]") {
    crash_fixture it;
    const run_id first = *it.submit(it.lookup_of(1, "/a"));
    const run_id second = *it.submit(it.lookup_of(2, "/b"));
    it.crash({first});
    it.actions.clear();
    it.owner.on_server_failed({second, server_failure::connection_lost});
    CHECK(it.take_actions<check_server>().empty());
    CHECK(it.take_sent<run_response>().size() == 1);
}

TEST_CASE("a request in quarantine is refused, also one that waits in the queue", "[crash]") {
    crash_fixture it;
    it.service.slots = 1;
    it.publish();
    const run_id busy = *it.submit(it.lookup_of(1, "/x"));
    it.receive(it.lookup_of(2, "/deadly"));
    suspect_update update = crash_elsewhere(it, "/deadly");
    update.suspects.front().crashes.push_back({incarnation{98}, 1});
    it.actions.clear();
    it.receive(update);
    const auto answers = it.take_sent<run_response>();
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().outcome == verdict::not_run);
    CHECK(answers.front().reason == refusal::quarantined);
    CHECK(answers.front().retry_after == suspect_table::first_quarantine);

    const auto again = it.reply_to<run_response>(it.lookup_of(3, "/deadly"));
    CHECK(again.reason == refusal::quarantined);
    it.respond(busy);
    CHECK(it.take_actions<start_run>().empty());
}

TEST_CASE("a lookup that comes into quarantine while it runs is cancelled, an order is not", "[crash]") {
    crash_fixture it;
    const run_id lookup = *it.submit(it.lookup_of(1, "/deadly"));
    run_request order = it.order(2);
    order.request.path = "/deadly-order";
    CHECK(it.submit(order));
    suspect_update update = crash_elsewhere(it, "/deadly");
    update.suspects.front().crashes.push_back({incarnation{98}, 1});
    suspect_notice other = update.suspects.front();
    other.fingerprint = fingerprint_of(it.identity.service, order.request);
    other.crashes = {{incarnation{97}, 1}, {incarnation{96}, 1}};
    update.suspects.push_back(other);
    it.actions.clear();
    it.receive(update);
    const auto cancelled = it.take_actions<cancel_run>();
    REQUIRE(cancelled.size() == 1);
    CHECK(cancelled.front().run == lookup);
    const auto answers = it.take_sent<run_response>();
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().outcome == verdict::unknown);
}

TEST_CASE("suspects run one after the other, and others beside them", "[crash]") {
    crash_fixture it;
    suspect_update update = crash_elsewhere(it, "/s1");
    update.suspects.push_back(crash_elsewhere(it, "/s2").suspects.front());
    it.receive(update);
    it.actions.clear();
    const auto confined = [&](std::uint64_t sequence, const std::string& path) {
        run_request message = it.lookup_of(sequence, path);
        message.confined = true;
        return message;
    };
    const run_id first = *it.submit(confined(1, "/s1"));
    CHECK_FALSE(it.submit(confined(2, "/s2")));
    CHECK(it.submit(it.lookup_of(3, "/innocent")));
    it.respond(first);
    CHECK(it.take_actions<start_run>().size() == 1);
}

TEST_CASE("an entry that does not know of a suspicion is told before a suspect runs", "[crash]") {
    crash_fixture it;
    it.receive(crash_elsewhere(it, "/s1"));
    it.actions.clear();
    const auto reply = it.reply_to<run_response>(it.lookup_of(1, "/s1"));
    CHECK(reply.outcome == verdict::not_run);
    CHECK(reply.reason == refusal::suspected);
}

TEST_CASE("an entry that connects learns of suspects", "[crash]") {
    crash_fixture it;
    it.receive(crash_elsewhere(it, "/s1"));
    it.actions.clear();
    it.owner.on_message(owner_fixture::second_link,
                        hello{target_id{"e2"}, incarnation{3}, data_centre_id{"dc1"}, 1});
    CHECK(it.take_sent<suspect_update>().size() == 1);
}

TEST_CASE("a suspect that cannot start in time is refused at once", "[crash]") {
    crash_fixture it;
    suspect_update update = crash_elsewhere(it, "/s0");
    for (int n = 1; n < 8; ++n) {
        update.suspects.push_back(crash_elsewhere(it, "/s" + std::to_string(n)).suspects.front());
    }
    it.receive(update);
    for (std::uint64_t n = 100; n < 110; ++n) {
        const run_id run = *it.submit(it.lookup_of(n, "/normal" + std::to_string(n)));
        it.advance(milliseconds{400});
        it.respond(run);
    }
    it.actions.clear();
    std::size_t refused = 0;
    for (std::uint64_t n = 0; n < 8; ++n) {
        run_request message = it.lookup_of(n, "/s" + std::to_string(n));
        message.confined = true;
        it.receive(message);
    }
    for (const auto& answer : it.take_sent<run_response>()) {
        refused += answer.reason == refusal::deadline ? 1 : 0;
    }
    CHECK(refused >= 2);
    CHECK(refused <= 6);
}

} // namespace cornelpier::owner_test
