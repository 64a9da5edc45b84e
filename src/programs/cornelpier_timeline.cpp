#include "daemon/program/program.hpp"
#include "daemon/report/fleet_query.hpp"
#include "daemon/timeline/timeline.hpp"

#include <CLI/CLI.hpp>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

namespace cornelpier {

namespace {

struct timeline_options {
    std::vector<std::string> files;
    std::string plan_file;
    std::string address;
    std::string format = "text";
    int limit_ms = 1000;
    timeline_filter filter;
};

bool add_files(timeline& events, const std::vector<std::string>& files) {
    for (const auto& it : files) {
        std::ifstream file{it, std::ios::binary};
        if (it != "-" && !file) {
            std::cerr << "cornelpier-timeline: " << it << ": cannot be read\n";
            return false;
        }
        std::istream& input = it == "-" ? std::cin : file;
        events.add_lines(std::string{std::istreambuf_iterator<char>{input}, {}});
    }
    return true;
}

/// Adds the recent events of all nodes of the plan and prints how many nodes answered.
bool add_fleet(timeline& events, const timeline_options& options) {
    const std::chrono::milliseconds limit{options.limit_ms};
    const auto found = load_plan(options.plan_file, options.address, limit);
    if (const auto* problem = std::get_if<error>(&found)) {
        std::cerr << "cornelpier-timeline: plan: " << problem->place << ": " << problem->reason << '\n';
        return false;
    }

    std::size_t answered = 0;
    const auto pages = fetch_pages(std::get<plan>(found), "/events", limit);
    for (const auto& it : pages) {
        if (const auto* text = std::get_if<std::string>(&it)) {
            events.add_lines(*text);
            ++answered;
        }
    }
    std::cerr << answered << " of " << pages.size() << " nodes answered\n";
    return answered > 0;
}

int run_timeline(const timeline_options& options) {
    timeline events;
    if (!add_files(events, options.files)) {
        return exit_failure;
    }
    const bool queries_fleet = !options.plan_file.empty() || !options.address.empty();
    if (queries_fleet && !add_fleet(events, options)) {
        return exit_failure;
    }

    const auto selected = events.select(options.filter);
    std::cout << (options.format == "html" ? to_html(selected) : to_text(selected));
    if (events.invalid_lines() > 0) {
        std::cerr << events.invalid_lines() << " lines were not events\n";
    }
    return EXIT_SUCCESS;
}

int run_program(int argc, const char* const* argv) {
    CLI::App app{"Merges the events of several nodes into one timeline.", "cornelpier-timeline"};
    timeline_options options;
    app.add_option("files", options.files, "Log files in JSON format; - for standard input");
    auto* plan_option =
        app.add_option("--plan", options.plan_file, "Plan sheet; reads the recent events of its nodes");
    app.add_option("--ask", options.address, "Operator address (IP:port) of a node to read the plan from")
        ->excludes(plan_option);
    app.add_option("--format", options.format, "text or html")->check(CLI::IsMember({"text", "html"}));
    app.add_option("--request", options.filter.request, "Only events of this request");
    app.add_option("--node", options.filter.node, "Only events of this node");
    app.add_option("--event", options.filter.event, "Only events of this number or name");
    app.add_option("--limit-ms", options.limit_ms, "Timeout for each node, in ms")
        ->check(CLI::Range(10, 60'000));

    if (const auto status = parse_command_line(app, argc, argv)) {
        return *status;
    }
    if (options.files.empty() && options.plan_file.empty() && options.address.empty()) {
        std::cerr << "cornelpier-timeline: files, --plan or --ask is required\n";
        return exit_bad_input;
    }
    return run_timeline(options);
}

} // namespace

} // namespace cornelpier

int main(int argc, char** argv) {
    return cornelpier::run_with_error_report("cornelpier-timeline",
                                             [&] { return cornelpier::run_program(argc, argv); });
}
