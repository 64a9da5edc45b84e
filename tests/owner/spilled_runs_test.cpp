#include "tests/owner/owner_fixture.hpp"

#include <catch2/catch.hpp>

namespace cornelpier::owner_test {

namespace {

/// An owner whose server has six slots.
class spill_fixture : public owner_fixture {
  public:
    spill_fixture() {
        service.slots = 6;
        publish();
        actions.clear();
    }

    [[nodiscard]] run_request spilled(std::uint64_t sequence) const {
        run_request message = lookup(sequence);
        message.spilled = true;
        return message;
    }
};

} // namespace

// Guards against a data centre whose own callers wait for runs that another one sent.
TEST_CASE("an owner refuses spilled runs while its own callers need the slots", "[owner][locality]") {
    spill_fixture it;
    CHECK(it.submit(it.spilled(1)));
    for (std::uint64_t n = 2; n < 6; ++n) {
        CHECK(it.submit(it.lookup(n)));
    }
    CHECK_FALSE(it.submit(it.spilled(6)));
    const auto answer = it.take_sent<run_response>().back();
    CHECK(answer.outcome == verdict::not_run);
    CHECK(answer.reason == refusal::wait_limit);
    CHECK(it.submit(it.lookup(7)));
}

// Guards against a far data centre without own targets: its calls are not marked and queue like all others.
TEST_CASE("runs of a data centre without own targets get all slots", "[owner][locality]") {
    spill_fixture it;
    for (std::uint64_t n = 1; n <= 6; ++n) {
        CHECK(it.submit(it.lookup(n)));
    }
}

} // namespace cornelpier::owner_test
