#include "platform/known_state.hpp"

#include <catch2/catch.hpp>

#include <vector>

namespace cornelpier::platform {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t same = 77;
constexpr std::uint64_t different = 78;
constexpr store_position listed{1, 10};
constexpr store_position later{1, 11};
constexpr time_point start{seconds{100}};

/// Difference between the clocks of this node and the sender.
constexpr duration offset = seconds{40};

constexpr duration usual_age = milliseconds{1000};

constexpr duration delay = milliseconds{1200};

/// What a node knows, and the numbers of the events that it logged.
class observed_state {
  public:
    observed_state() {
        m_state.restart(listed);
        m_state.on_read(start, start);
    }

    /// Lets a datagram arrive that tells of a later state, confirmed at the time.
    void hear_of_later(time_point now) {
        source_update update{target_id{"10.0.0.1"}, later.number, different, {}, later.era};
        update.sent_at = now - offset;
        m_state.on_update(update, same, false, m_state.confirmation_time(update, now, now), now);
    }

    /// Lets the changes of the later state arrive, passed on by a node that says nothing of its age.
    update_result receive_changes(time_point now) {
        source_update update{target_id{"10.0.0.2"}, later.number, different, "changes", later.era};
        update.sent_at = now - offset;
        update.age = known_state::unknown_age;
        return m_state.on_update(update, different, false, m_state.confirmation_time(update, now, now), now);
    }

    /// Lets an update arrive.
    /// @param age of the state as its sender says.
    /// @param transit time under way.
    update_result hear(time_point now, std::uint64_t digest, duration age, duration transit) {
        source_update update{target_id{"10.0.0.1"}, listed.number, digest, {}, listed.era};
        update.sent_at = now - transit - offset;
        update.age = age;
        const auto confirmed_at = m_state.confirmation_time(update, now, now);
        return m_state.on_update(update, same, false, confirmed_at, now);
    }

    [[nodiscard]] const known_state& state() const { return m_state; }
    [[nodiscard]] const std::vector<event_number>& logged() const { return m_logged; }

  private:
    std::vector<event_number> m_logged;
    known_state m_state{usual_age, [this](const event_record& it) { m_logged.push_back(it.number); }};
};

} // namespace

TEST_CASE("a confirmation counts from the moment of which it tells", "[platform][delay][field-reports]") {
    observed_state node;
    const time_point first = start + seconds{1};
    node.hear(first, same, duration::zero(), duration::zero());
    CHECK(node.state().confirmed_at() == first);

    const time_point second = first + 2 * delay;
    node.hear(second, same, delay, duration::zero());
    CHECK(node.state().confirmed_at() == second - delay);

    const time_point third = second + 2 * delay;
    node.hear(third, same, delay / 2, delay);
    CHECK(node.state().confirmed_at() == third - delay / 2 - delay);
    CHECK(node.logged() ==
          std::vector{event_number::directory_update_delayed, event_number::directory_update_delayed});
}

TEST_CASE("a confirmation of long ago takes none back", "[platform][delay]") {
    observed_state node;
    const time_point now = start + seconds{1};
    node.hear(now, same, duration::zero(), duration::zero());
    CHECK(node.hear(now + delay, same, 2 * delay, duration::zero()) == update_result::up_to_date);
    CHECK(node.state().confirmed_at() == now);
}

TEST_CASE("an update of another state or with an impossible age confirms nothing", "[platform][delay]") {
    observed_state node;
    CHECK(node.hear(start + delay, different, duration::zero(), duration::zero()) == update_result::diverged);
    node.hear(start + delay, same, -delay, duration::zero());
    node.hear(start + delay, same, known_state::unknown_age, duration::zero());
    CHECK(node.state().confirmed_at() == start);
}

TEST_CASE("changes that arrive after the datagram that tells of them are confirmed by it", "[platform]") {
    observed_state node;
    const time_point told = start + delay;
    node.hear_of_later(told);
    CHECK(node.state().behind_since() == told);
    CHECK(node.state().confirmed_at() == start);

    CHECK(node.receive_changes(told + delay) == update_result::up_to_date);
    CHECK(node.state().confirmed_at() == told);
    CHECK(node.state().position() == later);
    CHECK_FALSE(node.state().behind_since().has_value());
}

TEST_CASE("a node knows since when others are ahead of it", "[platform]") {
    observed_state node;
    CHECK_FALSE(node.state().behind_since().has_value());
    node.hear_of_later(start + delay);
    node.hear_of_later(start + 2 * delay);
    CHECK(node.state().behind_since() == start + delay);
}

TEST_CASE("a node lists the store after two differences at one position", "[platform]") {
    observed_state node;
    node.hear(start, different, duration::zero(), duration::zero());
    CHECK_FALSE(node.state().is_in_conflict());
    node.hear(start, different, duration::zero(), duration::zero());
    CHECK(node.state().is_in_conflict());
}

} // namespace cornelpier::platform
