#include "daemon/program/program.hpp"
#include "daemon/report/fleet_query.hpp"
#include "daemon/report/report_html.hpp"
#include "daemon/report/report_json.hpp"
#include "daemon/report/report_text.hpp"

#include <CLI/CLI.hpp>

#include <chrono>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <string>

namespace cornelpier {

namespace {

struct report_options {
    std::string plan_file;
    std::string address;
    std::string format = "text";
    int limit_ms = 1000;
};

std::string utc_now() {
    const std::time_t now = std::time(nullptr);
    std::tm parts{};
    gmtime_r(&now, &parts);
    std::string text(sizeof "2026-01-01T00:00:00Z", '\0');
    text.resize(std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts));
    return text;
}

std::string render(const fleet_report& report, const std::string& format) {
    if (format == "json") {
        return to_json(report);
    }
    return format == "html" ? to_html(report) : to_text(report);
}

int print_report(const report_options& options) {
    const std::chrono::milliseconds limit{options.limit_ms};
    const auto found = load_plan(options.plan_file, options.address, limit);
    if (const auto* problem = std::get_if<error>(&found)) {
        std::cerr << "cornelpier-report: plan: " << problem->place << ": " << problem->reason << '\n';
        return exit_failure;
    }

    const std::string taken_at = utc_now();
    const auto report = make_fleet_report(query_fleet(std::get<plan>(found), limit), taken_at);
    std::cout << render(report, options.format);
    return report.fleet.answered > 0 ? EXIT_SUCCESS : exit_failure;
}

int run_program(int argc, const char* const* argv) {
    CLI::App app{
        "Queries the state of all nodes of a plan and prints a report. Exit status 1 if no node answered.",
        "cornelpier-report"};
    report_options options;
    auto* plan_option = app.add_option("--plan", options.plan_file, "Plan sheet that lists the nodes");
    app.add_option("--ask", options.address, "Operator address (IP:port) of a node to read the plan from")
        ->excludes(plan_option);
    app.add_option("--format", options.format, "text, json or html")
        ->check(CLI::IsMember({"text", "json", "html"}));
    app.add_option("--limit-ms", options.limit_ms, "Timeout for each node, in ms")
        ->check(CLI::Range(10, 60'000));

    if (const auto status = parse_command_line(app, argc, argv)) {
        return *status;
    }
    if (options.plan_file.empty() && options.address.empty()) {
        std::cerr << "cornelpier-report: --plan or --ask is required\n";
        return exit_bad_input;
    }
    return print_report(options);
}

} // namespace

} // namespace cornelpier

int main(int argc, char** argv) {
    return cornelpier::run_with_error_report("cornelpier-report",
                                             [&] { return cornelpier::run_program(argc, argv); });
}
