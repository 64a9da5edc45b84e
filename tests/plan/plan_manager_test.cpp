#include "cornelpier/plan/plan_manager.hpp"

#include <catch2/catch.hpp>

namespace cornelpier {

namespace {

std::string make_sheet(int version, const std::string& deployment = "ro-centru") {
    return R"({"version": )" + std::to_string(version) + R"(, "deployment": ")" + deployment +
           R"(", "services": []})";
}

} // namespace

TEST_CASE("a plan is replaced only by one of a higher version", "[plan]") {
    plan_manager plans;
    CHECK(plans.offer(make_sheet(5), "service").event->number == event_number::plan_accepted);
    CHECK(plans.offer(make_sheet(5), "service").outcome == plan_outcome::unchanged);

    for (int n = 0; n < 2; ++n) {
        const auto refused = plans.offer(make_sheet(4), "service");
        CHECK(refused.outcome == plan_outcome::older);
        CHECK(refused.event->number == event_number::plan_refused_older);
    }
    CHECK(plans.digest().version == 5);
    CHECK(plans.offer(make_sheet(6), "service").outcome == plan_outcome::accepted);
}

TEST_CASE("of two plans with the same version the first stays, and each conflict is reported once",
          "[plan]") {
    plan_manager plans;
    plans.offer(make_sheet(5), "service");
    const auto first = plans.digest();

    CHECK(plans.offer(make_sheet(5, "other"), "peer").event->number == event_number::plan_refused_conflict);
    CHECK_FALSE(plans.offer(make_sheet(5, "other"), "peer").event);
    CHECK(plans.compare({5, 77}, "peer"));
    CHECK_FALSE(plans.compare({5, 77}, "another peer"));
    CHECK(plans.digest() == first);
    CHECK(plans.conflict());

    CHECK(plans.offer(make_sheet(6), "service").outcome == plan_outcome::accepted);
    CHECK_FALSE(plans.conflict());
}

TEST_CASE("a sheet one byte above the size limit is refused without being parsed", "[plan]") {
    int parsed = 0;
    plan_manager plans{[&](std::string_view) -> checked_result<shared_plan> {
        ++parsed;
        return std::vector{error{"", "bad"}};
    }};

    CHECK(plans.offer(std::string(max_plan_bytes + 1, ' '), "service").outcome == plan_outcome::too_large);
    CHECK(parsed == 0);
    CHECK(plans.offer(std::string(max_plan_bytes, ' '), "service").outcome == plan_outcome::invalid);
    CHECK(plans.offer(std::string(max_plan_bytes, ' '), "service").outcome == plan_outcome::invalid);
    CHECK(parsed == 1);
}

TEST_CASE("an invalid sheet leaves the plan in force, and the event has place and reason", "[plan]") {
    plan_manager plans;
    plans.offer(make_sheet(5), "service");
    const auto refused = plans.offer(R"({"version": 6, "deployment": "x"})", "service");

    CHECK(refused.event->number == event_number::plan_refused_invalid);
    CHECK(refused.event->fields.at(1).second == "missing required property 'services'");
    CHECK(plans.digest().version == 5);
}

} // namespace cornelpier
