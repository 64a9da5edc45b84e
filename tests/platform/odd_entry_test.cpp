#include "cornelpier/message/cbor_reader.hpp"

#include "platform/manifest.hpp"
#include "platform/server_directory.hpp"
#include "platform/store_client.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace cornelpier::platform {

namespace {

/// The largest value that the store holds.
constexpr std::size_t max_value_bytes = 1'048'576;

std::string entry_with(const std::string& member, const std::string& value,
                       const std::string& address = "10.0.0.9:80") {
    nlohmann::json entry{{"address", address},
                         {"born", 5},
                         {"info", {{"service", "s"}, {"version", "v"}, {"zone", "a"}, {"slots", 9}}},
                         {"status", {{"state", "ready"}, {"sequence", 4}, {"cold_left", "0ms"}}}};
    std::string text = entry.dump();
    const auto at = text.find('"' + member + "\":") + member.size() + 3;
    const auto end = text.find_first_of(",}", at);
    return text.replace(at, end - at, value);
}

std::string nested(char open, char close, std::size_t depth) {
    return std::string(depth, open) + std::string(close == 0 ? 0 : depth, close == 0 ? ' ' : close);
}

} // namespace

TEST_CASE("an odd entry names no server and the others stay", "[odd-entry]") {
    const std::string deep = nested('[', ']', max_value_bytes / 2 - 200);
    const std::vector<std::string> values{
        deep,
        nested('[', 0, max_value_bytes),
        entry_with("slots", deep),
        entry_with("slots", "1e999"),
        entry_with("slots", "1e300"),
        entry_with("slots", "99999999999999999999999"),
        entry_with("slots", "-1"),
        entry_with("sequence", "99999999999999999999999"),
        entry_with("born", "1e999"),
        entry_with("born", "18446744073709551616"),
        entry_with("born", "18446744073709551615"),
        entry_with("slots", "9", "10.0.0.9:65536"),
        entry_with("slots", "9", "10.0.0.9:0"),
        entry_with("slots", "9", "10.0.0.9:-1"),
        entry_with("slots", "9", "10.0.0.9:99999999999999999999"),
        entry_with("slots", "9", "10.0.0.9:80x"),
        std::string(max_value_bytes, '\0'),
        "\xff\xfe{}",
    };
    for (const auto& value : values) {
        INFO(value.substr(0, 200));
        server_directory it;
        REQUIRE_FALSE(it.put("servers/good", entry_with("slots", "9")));
        CHECK(it.put("servers/odd", value));
        REQUIRE(it.servers().size() == 1);
        CHECK(it.servers().front().instance == "good");
        CHECK(it.servers().front().address == "10.0.0.9:80");
    }
}

TEST_CASE("a deeply nested document ends no process", "[odd-entry]") {
    const std::string deep = nested('[', ']', max_value_bytes / 2);
    const std::string deep_object = [] {
        std::string text;
        for (std::size_t n = 0; n < max_value_bytes / 6; ++n) {
            text += R"({"a":)";
        }
        return text;
    }();
    CHECK(std::holds_alternative<store_failure>(decode_page(200, deep, {})));
    CHECK(std::holds_alternative<store_failure>(decode_changes(200, deep_object, {})));
    CHECK(std::holds_alternative<error>(decode_manifest(deep)));
    const std::string manifest = R"({"version":"r1","routes":{"columns":["name"],"rows":[[)" + deep +
                                 R"(]]},"services":{"columns":[],"rows":[]}})";
    CHECK(std::holds_alternative<error>(decode_manifest(manifest)));
}

TEST_CASE("a deeply nested message of a node ends no process", "[odd-entry]") {
    for (const char open : {'\x81', '\x9f', '\xbf', '\xa1', '\xc1'}) {
        CHECK(read_cbor(std::string(4 * max_value_bytes, open)).is_discarded());
    }
    std::string closed(max_value_bytes, '\x81');
    closed += '\x01';
    CHECK(read_cbor(closed).is_discarded());
}

} // namespace cornelpier::platform
