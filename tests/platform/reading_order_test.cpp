#include "platform/revision_tracker.hpp"
#include "platform/server_directory.hpp"

#include <catch2/catch.hpp>

namespace cornelpier::platform {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr time_point start{seconds{100}};
constexpr duration step = milliseconds{50};

/// Between two reads of a relay to which no update arrives.
constexpr duration report_interval = milliseconds{1800};

/// Longest pause of the reader between two calls that are refused.
constexpr duration longest_backoff = milliseconds{800};

constexpr const char* leaving_key = "servers/i-1";
constexpr const char* leaving_entry =
    R"({"address":"10.0.0.1:80","born":1,"info":{"service":"s","zone":"a",)"
    R"("slots":9},"status":{"state":"ready","sequence":1,"cold_left":"0ms"}})";

constexpr store_position before_removal{1, 10};
constexpr store_position after_removal{1, 11};

/// What a node knows, without its sockets. The store has one server, which leaves.
class observer {
  public:
    observer() {
        m_tracker.restart(before_removal);
        m_directory.on_contact(start);
        m_directory.put(leaving_key, leaving_entry);
        m_tracker.mark_published();
    }

    void on_refused() { m_directory.on_failure(); }

    void read(time_point now, bool removed) {
        m_directory.on_contact(now);
        REQUIRE(m_tracker.advance_to(removed ? after_removal : before_removal));
        if (removed) {
            m_directory.on_deleted(leaving_key, now);
        }
        put_in_force(now);
    }

    void put_in_force(time_point now) {
        m_directory.expire(now);
        if (!m_directory.has_missing()) {
            m_tracker.mark_published();
        }
    }

    /// @return whether this node is confirmed by the update of the other one.
    bool hear(const observer& other, time_point now) {
        const auto update = other.state(now);
        if (update.evidence == update_evidence::none) {
            return false;
        }
        m_directory.on_relayed_contact(now, update.evidence == update_evidence::available);
        if (lists_leaving() && !other.lists_leaving()) {
            m_directory.erase(leaving_key, now);
        }
        return m_tracker.on_update(update, digest(), m_directory.has_missing()) == update_result::up_to_date;
    }

    [[nodiscard]] bool lists_leaving() const { return !m_directory.servers().empty(); }

  private:
    [[nodiscard]] std::uint64_t digest() const { return m_directory.servers().size(); }

    [[nodiscard]] announced_state state(time_point now) const {
        return {m_tracker.published(), digest(), m_directory.read_evidence(now)};
    }

    server_directory m_directory{report_interval};
    revision_tracker m_tracker;
};

} // namespace

// Guards against requests to a server that has left, from a reader that the store refused and from the nodes
// that it confirms, whichever of them reads the removal first.
TEST_CASE("a removal counts at the reader and the relay in every order of their reads",
          "[platform][refusal]") {
    constexpr duration refused_for = seconds{3};
    const time_point removed_at = start + refused_for;
    for (duration reader_delay = duration::zero(); reader_delay < longest_backoff; reader_delay += step) {
        for (duration relay_delay = duration::zero(); relay_delay < report_interval; relay_delay += step) {
            CAPTURE(reader_delay.count(), relay_delay.count());
            observer reader;
            observer relay;
            const time_point relay_reads = removed_at + relay_delay;
            const time_point reader_reads = removed_at + reader_delay;
            reader.on_refused();
            for (time_point at = relay_reads - 2 * report_interval; at < removed_at; at += report_interval) {
                if (at > start) {
                    relay.read(at, false);
                    reader.hear(relay, at);
                    reader.on_refused();
                }
            }

            const auto read_at_reader = [&] {
                reader.read(reader_reads, true);
                CHECK_FALSE(reader.lists_leaving());
                const bool confirmed = relay.hear(reader, reader_reads);
                CHECK_FALSE((confirmed && relay.lists_leaving()));
            };
            const auto read_at_relay = [&] {
                relay.read(relay_reads, true);
                CHECK_FALSE(relay.lists_leaving());
                reader.hear(relay, relay_reads);
                CHECK_FALSE(reader.lists_leaving());
            };
            if (reader_delay < relay_delay) {
                read_at_reader();
                read_at_relay();
            } else {
                read_at_relay();
                read_at_reader();
            }
        }
    }
}

TEST_CASE("an entry that expired in an outage is kept by all in every order of their reads",
          "[platform][refusal]") {
    constexpr duration outage = seconds{3};
    const time_point back = start + outage;
    for (const bool reader_first : {true, false}) {
        for (duration gap = duration::zero(); gap < milliseconds{900}; gap += step) {
            observer reader;
            observer relay;
            for (auto* it : {&reader, &relay}) {
                it->on_refused();
            }
            observer& first = reader_first ? reader : relay;
            observer& second = reader_first ? relay : reader;
            first.read(back, true);
            second.hear(first, back);
            second.read(back + gap, true);
            first.hear(second, back + gap);
            CHECK(reader.lists_leaving());
            CHECK(relay.lists_leaving());
            const time_point end = back + server_directory::re_registration_time;
            first.put_in_force(end);
            second.put_in_force(end + gap);
            CHECK_FALSE(reader.lists_leaving());
            CHECK_FALSE(relay.lists_leaving());
        }
    }
}

} // namespace cornelpier::platform
