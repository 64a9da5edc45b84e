#include "cornelpier/message/codec.hpp"

#include "platform/manifest.hpp"
#include "platform/platform_wire.hpp"
#include "platform/relayed_changes.hpp"
#include "platform/server_entry.hpp"
#include "platform/store_client.hpp"

#include <catch2/catch.hpp>

#include <random>
#include <string>
#include <type_traits>
#include <vector>

namespace cornelpier::platform {

namespace {

/// Number of mutated inputs per decoder. A fixed seed makes them the same in every run.
constexpr int input_count = 20000;

/// Largest number of mutations of one input.
constexpr int max_mutations = 6;

const std::string manifest_text = R"({"version":"r7",
  "routes":{"columns":["name","host","path_prefix","kind","timeout","objective","priority","service",
                       "max_attempts","traffic_split"],
    "rows":[["r-1","a.example","/o/","unsafe","1200ms","500ms",1,"orders",2,null],
            ["r-2","a.example","/l/","safe","1.5s","500ms",2,null,3,
             [{"service":"orders","weight":90},{"service":"next","weight":10}]]]},
  "services":{"columns":["name","health_path","max_connections"],"rows":[["orders","/health",220]]},
  "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms"}})";

const std::string entry_text =
    R"({"address":"10.0.0.9:8080","born":5,"info":{"service":"orders","version":"v1",
  "zone":"a","slots":9},"status":{"state":"ready","sequence":4,"cold_left":"1500ms"}})";

const std::string changes_text =
    R"({"events":[{"key":"servers/i-1","value":"e30=","revision":4},{"key":"op/config","revision":5,"deleted":true}],
    "current_rev":5})";

/// Damages a text by replaced, removed, duplicated, inserted and truncated bytes and by flipped bits.
class mutator {
  public:
    explicit mutator(std::uint32_t seed) : m_random(seed) {}

    std::string operator()(std::string text) {
        for (int n = below(max_mutations) + 1; n > 0 && !text.empty(); --n) {
            const auto at = static_cast<std::size_t>(below(static_cast<int>(text.size())));
            const auto length = static_cast<std::size_t>(below(16) + 1);
            switch (below(6)) {
            case 0:
                text[at] = static_cast<char>(below(256));
                break;
            case 1:
                text.erase(at, length);
                break;
            case 2:
                text.insert(at, text.substr(at, length));
                break;
            case 3:
                text.resize(at);
                break;
            case 4:
                text.insert(at,
                            pick({"-", "1e400", "null", "[]", "{}", "\"\"", "99999999999999999999", "0"}));
                break;
            default:
                text[at] = static_cast<char>(text[at] ^ (1 << below(8)));
            }
        }
        return text;
    }

  private:
    int below(int n) { return std::uniform_int_distribution{0, n - 1}(m_random); }

    std::string pick(const std::vector<std::string>& from) {
        return from[static_cast<std::size_t>(below(static_cast<int>(from.size())))];
    }

    std::mt19937 m_random;
};

/// Passes the text and mutations of it to a decoder.
/// @param decode_and_check decodes an input and checks the result; returns whether it was decoded.
/// @return number of inputs that were decoded.
template <typename Function>
int fuzz(std::uint32_t seed, const std::string& text, Function decode_and_check) {
    mutator mutate{seed};
    int decoded = decode_and_check(text) ? 1 : 0;
    for (int n = 0; n < input_count; ++n) {
        const std::string input = mutate(text);
        CAPTURE(seed, n, input);
        decoded += decode_and_check(input) ? 1 : 0;
    }
    return decoded;
}

std::string encode_node_message(const node_message& message) {
    return std::visit([](const auto& it) { return encode(it); }, message);
}

} // namespace

TEST_CASE("a damaged manifest is rejected or decoded to a valid one", "[platform][fuzz]") {
    const int decoded = fuzz(1, manifest_text, [](const std::string& input) {
        const auto outcome = decode_manifest(input);
        if (!has_value(outcome)) {
            return false;
        }
        const auto& it = std::get<manifest>(outcome);
        CHECK(it.routes != nullptr);
        CHECK(it.raw_text == input);
        return true;
    });
    CHECK(decoded > 1);
}

TEST_CASE("a damaged server entry is rejected or decoded to a usable server", "[platform][fuzz]") {
    const int decoded = fuzz(2, entry_text, [](const std::string& input) {
        const auto outcome = decode_server_entry("servers/i-1", input);
        if (!has_value(outcome)) {
            return false;
        }
        const auto& it = std::get<server_entry>(outcome);
        CHECK(it.instance == "i-1");
        CHECK(it.slots > 0);
        CHECK(it.address.find(':') != std::string::npos);
        CHECK(it.warm_up_remaining >= duration::zero());
        return true;
    });
    CHECK(decoded > 1);
}

TEST_CASE("a damaged response of the store is decoded or reported as not understood", "[platform][fuzz]") {
    const int decoded = fuzz(3, changes_text, [](const std::string& input) {
        const auto outcome = decode_changes(200, input);
        const auto* changes = std::get_if<store_changes>(&outcome);
        const auto* failure = std::get_if<store_failure>(&outcome);
        CHECK((changes != nullptr || *failure == store_failure::not_understood));
        static_cast<void>(decode_page(200, input));
        return changes != nullptr;
    });
    CHECK(decoded > 1);
}

TEST_CASE("damaged relayed changes are rejected or keep their number when encoded again",
          "[platform][fuzz]") {
    const auto text = encode_relayed_changes({{"op/config", "{}"}, {"servers/i-1", std::nullopt}});
    const int decoded = fuzz(4, text, [](const std::string& input) {
        const auto changes = decode_relayed_changes(input);
        if (!changes) {
            return false;
        }
        const auto again = decode_relayed_changes(encode_relayed_changes(*changes));
        REQUIRE(again);
        CHECK(again->size() == changes->size());
        return true;
    });
    CHECK(decoded > 1);
}

TEST_CASE("a damaged message between nodes is rejected or survives another round trip", "[platform][fuzz]") {
    run_request order;
    order.attempt = {{incarnation{0xfedcba9876543210ULL}, 7}, 2};
    order.service = service_id{"orders"};
    order.request = {"POST", "/o/1", {{"content-type", "text/plain"}}, make_body("order")};
    order.key = "key-1";
    order.remaining = std::chrono::milliseconds{800};
    const control_message update = source_update{target_id{"10.0.0.1"}, 9, 77, "changes"};
    for (const auto& text : {encode(traffic_message{order}), encode(update)}) {
        const int decoded = fuzz(5, text, [](const std::string& input) {
            const auto message = decode(input);
            if (!has_value(message)) {
                return false;
            }
            const auto bytes = encode_node_message(std::get<node_message>(message));
            const auto again = decode(bytes);
            REQUIRE(has_value(again));
            CHECK(encode_node_message(std::get<node_message>(again)) == bytes);
            return true;
        });
        CHECK(decoded > 1);
    }
}

TEST_CASE("a damaged server load is rejected or has a positive slowness", "[platform][fuzz]") {
    const int decoded = fuzz(6, "3,1,9,700", [](const std::string& input) {
        const auto figures = parse_server_load(input);
        if (figures) {
            CHECK(figures->slowness > 0);
        }
        return figures.has_value();
    });
    CHECK(decoded > 1);
}

} // namespace cornelpier::platform
