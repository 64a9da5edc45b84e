#include "cornelpier/plan/plan_parser.hpp"

#include "daemon/program/program.hpp"

#include <CLI/CLI.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace cornelpier {

namespace {

/// Reads at most one byte more than `max_plan_bytes`, which is enough to detect a plan that is too large.
/// @return the content, or nothing if the file cannot be read.
std::optional<std::string> read_plan_file(const std::string& path) {
    std::ifstream file{path, std::ios::binary};
    std::string text(max_plan_bytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (file.bad() || (file.fail() && !file.eof())) {
        return std::nullopt;
    }
    text.resize(static_cast<std::size_t>(file.gcount()));
    return text;
}

/// Keeps lines below 40 columns where the length of the names allows it, for small screens.
void print_summary(const plan& checked) {
    std::cout << "plan " << checked.version << " of " << checked.deployment << ": valid\n"
              << checked.sheet.size() << " of " << max_plan_bytes << " bytes\n";

    for (const auto& service : checked.services) {
        std::set<std::string> data_centres;
        for (const auto& it : service.targets) {
            data_centres.insert(it.data_centre.value());
        }
        std::cout << service.id.value() << "\n  targets " << service.targets.size() << " in "
                  << data_centres.size() << " data centres\n  slots " << service.slots << ", deadline "
                  << service.deadline.count() / 1000 << " ms\n  measuring " << service.measuring.per_second
                  << "/s, tail weight " << service.tail_weight << "\n";
    }
}

int check_file(const std::string& path) {
    const auto text = read_plan_file(path);
    if (!text) {
        std::cerr << path << ": cannot be read\n";
        return exit_failure;
    }
    if (text->size() > max_plan_bytes) {
        std::cerr << path << ": larger than " << max_plan_bytes << " bytes\n";
        return exit_bad_input;
    }

    const auto outcome = parse_plan(*text);
    if (const auto* errors = std::get_if<std::vector<error>>(&outcome)) {
        for (const auto& it : *errors) {
            std::cerr << (it.place.empty() ? "/" : it.place) << ": " << it.reason << "\n";
        }
        std::cerr << errors->size() << (errors->size() == 1 ? " mistake\n" : " mistakes\n");
        return exit_bad_input;
    }
    print_summary(std::get<plan>(outcome));
    return EXIT_SUCCESS;
}

int run_program(int argc, const char* const* argv) {
    CLI::App app{"Validates a plan sheet and prints a summary or all errors.", "cornelpier-plan"};
    std::string path;
    app.add_option("sheet", path, "Plan sheet (JSON)")->required();

    if (const auto status = parse_command_line(app, argc, argv)) {
        return *status;
    }
    return check_file(path);
}

} // namespace

} // namespace cornelpier

int main(int argc, char** argv) {
    return cornelpier::run_with_error_report("cornelpier-plan",
                                             [&] { return cornelpier::run_program(argc, argv); });
}
