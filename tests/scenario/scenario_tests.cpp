#define CATCH_CONFIG_RUNNER
#include "tests/scenario/scenario_parser.hpp"
#include "tests/scenario/scenario_runner.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

using namespace cornelpier;
using namespace cornelpier::testing;

namespace {

bool update_golden = false;

std::string read_file(const std::filesystem::path& path) {
    std::ifstream in{path, std::ios::binary};
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

std::vector<std::filesystem::path> scenario_files() {
    std::vector<std::filesystem::path> result;
    for (const auto& it : std::filesystem::directory_iterator{CORNELPIER_SCENARIOS}) {
        if (it.path().extension() == ".scenario") {
            result.push_back(it.path());
        }
    }
    std::ranges::sort(result);
    return result;
}

} // namespace

TEST_CASE("each scenario meets its expectations and its golden file") {
    for (const auto& file : scenario_files()) {
        DYNAMIC_SECTION(file.stem().string()) {
            const auto parsed = parse_scenario(read_file(file));
            REQUIRE(has_value(parsed));
            const auto& commands = std::get<0>(parsed);
            const auto outcome = scenario_runner::run(commands);
            auto golden = file;
            golden.replace_extension(".golden");
            if (update_golden) {
                std::ofstream{golden, std::ios::binary} << outcome.transcript;
            }

            for (const auto& it : outcome.failures) {
                FAIL_CHECK(file.filename().string() + ": " + it);
            }
            CHECK(outcome.transcript == read_file(golden));
            // Guards against state shared between runs and order that depends on memory addresses.
            CHECK(scenario_runner::run(commands).transcript == outcome.transcript);
        }
    }
}

// Guards against a runner that never reports a failure.
TEST_CASE("an unmet expectation is reported") {
    const auto commands = parse_scenario("service s\ntarget s-1 dc-1\ntarget s-2 dc-2\n"
                                         "at 1s call c1 POST s /orders via=s-1\n"
                                         "at 3s expect c1 verdict=not-run status=200 executions=2\n");
    REQUIRE(has_value(commands));
    CHECK(scenario_runner::run(std::get<0>(commands)).failures.size() == 2);
}

// Guards against malformed lines that are silently skipped.
TEST_CASE("the error for a malformed line contains its number") {
    const auto parsed = parse_scenario("service s\nat noon call c1\n");
    REQUIRE_FALSE(has_value(parsed));
    CHECK(std::get<1>(parsed).place == "line 2");
}

int main(int argc, char** argv) {
    Catch::Session session;
    session.cli(session.cli() | Catch::clara::Opt(update_golden)["--update"]("rewrite the golden files"));
    const int status = session.applyCommandLine(argc, argv);
    return status != 0 ? status : session.run();
}
