#include "cornelpier/plan/plan.hpp"
#include "cornelpier/plan/plan_finding.hpp"

#include "daemon/operator/operator_server.hpp"
#include "tests/daemon/support/running_context.hpp"
#include "tests/plan_check/support/check_run.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <filesystem>
#include <sstream>
#include <string>
#include <vector>

namespace cornelpier {

namespace {

using test::case_path;
using test::check_output;
using test::read_case;
using test::run_check;

/// @return the names of the cases: files `NAME.golden`.
std::vector<std::string> case_names() {
    std::vector<std::string> names;
    for (const auto& it : std::filesystem::directory_iterator{case_path("")}) {
        if (it.path().extension() == ".golden") {
            names.push_back(it.path().stem().string());
        }
    }
    std::sort(names.begin(), names.end());
    return names;
}

/// @return the arguments of a case: the plan, one argument a line of `NAME.args` with `@` for the directory,
/// and `NAME.in_force.json` as the version in force.
std::vector<std::string> arguments_of(const std::string& name) {
    std::vector<std::string> arguments{case_path(name + ".json")};
    if (std::filesystem::exists(case_path(name + ".args"))) {
        std::istringstream lines{read_case(name + ".args")};
        for (std::string line; std::getline(lines, line);) {
            arguments.push_back(line.starts_with('@') ? case_path(line.substr(1)) : line);
        }
    }
    if (std::filesystem::exists(case_path(name + ".in_force.json"))) {
        arguments.insert(arguments.end(), {"--in-force", case_path(name + ".in_force.json")});
    }
    return arguments;
}

/// @return the text that the golden files contain.
std::string to_golden(const check_output& output) {
    return output.text + "exit status " + std::to_string(output.status) + '\n';
}

} // namespace

// Guards against a finding or change that is lost, reported at another place or with another exit status.
TEST_CASE("reports of the check of a plan match the golden files", "[plan-check]") {
    const auto names = case_names();
    REQUIRE(names.size() > 30);
    for (const auto& name : names) {
        INFO(name);
        const auto output = run_check(arguments_of(name));
        CHECK(to_golden(output) == read_case(name + ".golden"));
        CHECK(output.errors.empty());
    }
}

TEST_CASE("each kind of finding and of change has a golden file", "[plan-check]") {
    std::string all = read_case("too_large.golden_text");
    for (const auto& name : case_names()) {
        all += read_case(name + ".golden");
    }
    for (int n = 0; n < finding_kind_count; ++n) {
        const std::string name{to_string(static_cast<finding_kind>(n))};
        INFO(name);
        CHECK(all.find(' ' + name + ' ') != std::string::npos);
    }
    for (const std::string kind : {"added", "removed", "moved", "changed"}) {
        INFO(kind);
        CHECK(all.find(kind + " route") != std::string::npos);
    }
}

// A plan above the limit is refused unread by nodes. A check that read it whole could also be slow.
TEST_CASE("a plan of one byte above the limit is not read further", "[plan-check]") {
    const std::string document = read_case("clean_manifest.json");
    const auto output_for = [&](std::size_t size) {
        const test::temporary_file file{document + std::string(size - document.size(), ' ')};
        return to_golden(run_check({file.path()}));
    };
    CHECK(output_for(max_plan_bytes + 1) == read_case("too_large.golden_text"));
    CHECK(output_for(max_plan_bytes) == "manifest 7: valid\n1000000 of 1000000 bytes\nexit status 0\n");
}

TEST_CASE("the report is also available as JSON", "[plan-check]") {
    for (const std::string name : {"unknown_service", "difference_moved", "clean_sheet", "random_bytes"}) {
        INFO(name);
        auto arguments = arguments_of(name);
        arguments.insert(arguments.end(), {"--format", "json"});
        CHECK(run_check(arguments).text == read_case(name + ".report.json"));
    }
}

TEST_CASE("the version in force is read from a node", "[plan-check]") {
    const std::string in_force = read_case("difference_moved.in_force.json");
    test::running_context threads;
    operator_server node(threads.context, [&](const std::string& path, const auto& respond) {
        respond(path == "/plan" ? operator_page{200, "application/json", in_force}
                                : operator_page{404, "text/plain", ""});
    });
    const std::string address = test::free_address();
    REQUIRE(node.bind(address).reason.empty());
    node.start();
    const auto output = run_check({case_path("difference_moved.json"), "--ask", address});
    threads.stop();
    CHECK(to_golden(output) == read_case("difference_moved.golden"));
}

// Exit status 2 means warnings only, so that a script may go on. A check that was not made must not look so.
TEST_CASE("a check that cannot be made has the exit status of errors", "[plan-check]") {
    const std::string plan = case_path("clean_manifest.json");
    const std::vector<std::vector<std::string>> cases{
        {},
        {plan, "--unknown"},
        {case_path("missing.json")},
        {plan, "--in-force", case_path("missing.json")},
        {plan, "--in-force", case_path("random_bytes.json")},
        {plan, "--in-force", case_path("clean_sheet.json")},
        {plan, "--ask", test::free_address()},
        {plan, "--ask", "nowhere"},
        {plan, "--settings", case_path("clean_sheet.json")},
        {plan, "--settings", case_path("missing.json")},
        {plan, "--targets", "orders"},
        {plan, "--targets", "orders=many"},
        {plan, "--type", "toml"},
        {plan, "--type", "sheet"},
    };
    for (const auto& arguments : cases) {
        INFO((arguments.empty() ? "" : arguments.back()));
        CHECK(run_check(arguments).status == 1);
    }
    CHECK(run_check({"--help"}).status == 0);
    CHECK(run_check({"--help"}).text.find("Example:") != std::string::npos);
}

// Names of a document are shown on a terminal.
TEST_CASE("control characters of a document are not printed", "[plan-check]") {
    auto document = nlohmann::json::parse(read_case("clean_manifest.json"));
    document["\x1b[2J"] = 1;
    document["routes"]["rows"][0][7] = "a\nb\x7f";
    const test::temporary_file file{document.dump()};
    const auto output = run_check({file.path()});
    CHECK(output.status == 1);
    CHECK(output.text.find('\x1b') == std::string::npos);
    CHECK(output.text.find('\x7f') == std::string::npos);
    CHECK(output.text.find("a?b?") != std::string::npos);
}

// Every shortened document is a malformed one; the check must not end by an exception or a crash.
TEST_CASE("damaged documents are reported", "[plan-check]") {
    for (const std::string name : {"clean_manifest.json", "clean_sheet.json"}) {
        const std::string document = read_case(name);
        for (std::size_t size = 0; size + 2 < document.size(); size += 7) {
            INFO(name << ' ' << size);
            const test::temporary_file file{document.substr(0, size)};
            CHECK(run_check({file.path()}).status == 1);
        }
        for (std::size_t position = 0; position < document.size(); position += 5) {
            INFO(name << ' ' << position);
            std::string damaged = document;
            damaged[position] = '7';
            const test::temporary_file file{damaged};
            const auto output = run_check({file.path(), "--in-force", case_path(name)});
            CHECK((output.status >= 0 && output.status <= 2));
            CHECK_FALSE(output.text.empty());
        }
    }
}

} // namespace cornelpier
