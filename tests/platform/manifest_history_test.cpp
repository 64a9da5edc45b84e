#include "platform/manifest_history.hpp"
#include "platform/relayed_changes.hpp"
#include "platform/text_patch.hpp"
#include "tests/process/support/sidecar_documents.hpp"

#include <catch2/catch.hpp>

#include <vector>

namespace cornelpier::platform {

namespace {

constexpr time_point start{std::chrono::seconds{100}};

/// Routes of a plan that is large for a datagram or a slow link.
constexpr int many = 300;

std::string manifest_of(int version, int routes = 1) {
    auto rows = nlohmann::json::array();
    for (int n = 0; n < routes; ++n) {
        rows.push_back(test::route_row("r-" + std::to_string(n), "a.example", '/' + std::to_string(n) + '/',
                                       "safe", "status"));
    }
    return test::manifest_json(version, rows, "status");
}

/// A node's manifests, and the numbers of the events that they logged.
class observed_history {
  public:
    void apply(const std::string& text) { m_history.apply(text, start); }

    /// @return the only change that another node encoded, as this one decodes it.
    [[nodiscard]] relayed_change decode(const std::string& text) const {
        return decode_relayed_changes(text, [this](std::uint64_t hash) { return m_history.find(hash); })
            .value()
            .at(0);
    }

    [[nodiscard]] const manifest_history& history() const { return m_history; }
    [[nodiscard]] const std::vector<event_number>& logged() const { return m_logged; }

  private:
    std::vector<event_number> m_logged;
    manifest_history m_history{[this](const event_record& it) { m_logged.push_back(it.number); }};
};

} // namespace

TEST_CASE("a manifest that was refused does not keep a valid one from coming into force", "[platform]") {
    observed_history node;
    node.apply(manifest_of(4));
    node.apply("{}");
    node.apply(manifest_of(3));
    node.apply(manifest_of(4, 2));
    node.apply(manifest_of(5));
    CHECK(node.history().current()->version == 5);
    CHECK(node.logged() == std::vector{event_number::plan_accepted, event_number::plan_refused_invalid,
                                       event_number::plan_refused_older, event_number::plan_refused_conflict,
                                       event_number::plan_accepted});
}

TEST_CASE("a manifest that was replaced does not come back", "[platform]") {
    observed_history node;
    node.apply(manifest_of(4));
    node.apply(manifest_of(5));
    node.apply(manifest_of(5));
    node.apply(manifest_of(4));
    CHECK(node.history().current()->version == 5);
    CHECK(node.logged().back() == event_number::plan_refused_older);
}

TEST_CASE("the differences of a manifest are applied to the one that they refer to", "[platform]") {
    observed_history node;
    node.apply(manifest_of(4, many));
    node.apply(manifest_of(5, many + 1));
    const std::string next = manifest_of(6, many + 2);
    const auto update = encode_relayed_changes({{"op/config", next, manifest_of(4, many)}});
    CHECK(update.size() < next.size() / 10);
    CHECK(node.decode(update).value == next);

    const auto unknown = encode_relayed_changes({{"op/config", next, manifest_of(2, many)}});
    CHECK(node.decode(unknown).is_base_missing);
    CHECK_FALSE(node.decode(unknown).value.has_value());
}

TEST_CASE("a patch that is damaged or too large yields no text", "[platform]") {
    const std::string base = manifest_of(4, many);
    const std::string text = manifest_of(5, many);
    const std::string patch = make_patch(base, text);
    CHECK(apply_patch(base, patch) == text);
    CHECK_FALSE(apply_patch(std::string(base.size(), 'x'), patch).has_value());
    CHECK_FALSE(apply_patch(base, patch.substr(0, patch.size() / 2)).has_value());
    CHECK_FALSE(apply_patch(base, "no patch").has_value());
    CHECK_FALSE(apply_patch({}, make_patch({}, std::string(max_patched_bytes + 1, 'x'))).has_value());
}

} // namespace cornelpier::platform
