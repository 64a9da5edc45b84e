#include "daemon/program/plan_check_program.hpp"

#include "cornelpier/plan/plan_check.hpp"
#include "cornelpier/plan/plan_difference.hpp"

#include "daemon/program/program.hpp"
#include "daemon/report/fleet_query.hpp"
#include "daemon/report/plan_report.hpp"
#include "daemon/settings/settings_file.hpp"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <fstream>
#include <iostream>
#include <utility>

namespace cornelpier {

namespace {

constexpr const char* program_name = "cornelpier-plan";

constexpr const char* description =
    "Checks a plan before it is sent: errors, entries that never match, contradictions, and the difference "
    "from the version in force. Exit status: 0 clean, 1 errors or not checked, 2 warnings only.";

constexpr const char* example =
    "Example:\n"
    "  cornelpier-plan new.json --ask 10.0.0.7:7201 --settings node.json --targets orders=12\n"
    "reports the findings in new.json, the routes that it adds, removes, moves and changes, and whether\n"
    "nodes would refuse it as older or conflicting.";

constexpr std::size_t bytes_per_mb = std::size_t{1024} * 1024;

struct check_options {
    std::string path;
    std::string type = "auto";
    std::string output = "text";
    std::string in_force_path;
    std::string address;
    std::string settings_path;
    std::vector<std::string> targets;
    std::vector<std::string> slots;
    std::size_t memory_mb = fleet_facts{}.node_memory_bytes / bytes_per_mb;
    int limit_ms = 1000;
};

/// Reads at most one byte more than `max_plan_bytes`, which is enough to detect a plan that is too large.
result<std::string> read_plan_file(const std::string& path) {
    std::ifstream file{path, std::ios::binary};
    std::string text(max_plan_bytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (file.bad() || (file.fail() && !file.eof())) {
        return error{path, "cannot be read"};
    }
    text.resize(static_cast<std::size_t>(file.gcount()));
    return text;
}

/// @return the format by its name, or for `auto` the first that recognizes the text.
const plan_format& choose_format(const std::vector<plan_format>& formats, const std::string& name,
                                 const std::string& text) {
    const auto named = std::ranges::find(formats, name, &plan_format::name);
    if (named != formats.end()) {
        return *named;
    }
    if (text.size() > max_plan_bytes) {
        return formats.back();
    }
    const auto it =
        std::ranges::find_if(formats, [&](const plan_format& format) { return format.recognizes(text); });
    return it == formats.end() ? formats.back() : *it;
}

/// @param text `SERVICE=COUNT`.
std::optional<std::pair<std::string, std::size_t>> parse_count(const std::string& text) {
    const auto separator = text.rfind('=');
    if (separator == std::string::npos || separator == 0) {
        return std::nullopt;
    }
    std::size_t number = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data() + separator + 1, end, number);
    return ec == std::errc{} && stop == end ? std::optional{std::pair{text.substr(0, separator), number}}
                                            : std::nullopt;
}

result<fleet_facts> gather_facts(const check_options& options, const plan_check_formats& formats) {
    fleet_facts facts;
    facts.node_memory_bytes = options.memory_mb * bytes_per_mb;
    for (const auto& [values, counts] :
         {std::pair{&options.targets, &facts.target_counts}, {&options.slots, &facts.slots}}) {
        for (const auto& it : *values) {
            const auto parsed = parse_count(it);
            if (!parsed) {
                return error{it, "expected SERVICE=COUNT"};
            }
            counts->insert_or_assign(parsed->first, parsed->second);
        }
    }
    if (options.settings_path.empty()) {
        return facts;
    }
    const auto settings = load_settings_file(options.settings_path);
    if (!settings) {
        return error{options.settings_path, "not valid settings of a node"};
    }
    if (formats.read_retry_budget) {
        const auto budget = formats.read_retry_budget(settings->settings.adapter);
        if (const auto* problem = std::get_if<error>(&budget)) {
            return error{options.settings_path + ": /adapter" + problem->place, problem->reason};
        }
        facts.retry_budget = std::get<fleet_retry_budget>(budget);
    }
    return facts;
}

bool has_version_in_force(const check_options& options) {
    return !options.in_force_path.empty() || !options.address.empty();
}

/// Reads the version in force from a file or a node.
result<plan_document> read_in_force(const check_options& options, const plan_format& format) {
    const auto text = options.address.empty()
                          ? read_plan_file(options.in_force_path)
                          : fetch_page(options.address, "/plan", std::chrono::milliseconds{options.limit_ms});
    if (const auto* problem = std::get_if<error>(&text)) {
        return *problem;
    }
    auto document = read_document(format, std::get<std::string>(text));
    if (document.is_partial()) {
        const auto& first = document.findings.front();
        return error{"version in force: " + (first.place.empty() ? "/" : first.place), first.text};
    }
    return document;
}

void add_difference(const plan_document& in_force, const plan_document& document, plan_report& report) {
    const bool is_complete = !document.is_partial();
    report.difference = plan_report_difference{in_force.content.version, {}, is_complete};
    if (is_complete) {
        report.difference->changes = difference(in_force, document);
    }
    // The version of an invalid document may be missing.
    if (document.content.version == 0) {
        return;
    }
    if (auto refusal = refusal_of(in_force, document)) {
        report.findings.push_back(*std::move(refusal));
    }
}

int status_of(const std::vector<plan_finding>& findings) {
    if (count(findings, finding_severity::error) > 0) {
        return exit_plan_errors;
    }
    return findings.empty() ? exit_plan_clean : exit_plan_warnings;
}

int fail(const error& problem) {
    std::cerr << program_name << ": " << problem.place << ": " << problem.reason << '\n';
    return exit_plan_errors;
}

int check(const check_options& options, const plan_check_formats& formats) {
    const auto text = read_plan_file(options.path);
    if (const auto* problem = std::get_if<error>(&text)) {
        return fail(*problem);
    }
    const auto facts = gather_facts(options, formats);
    if (const auto* problem = std::get_if<error>(&facts)) {
        return fail(*problem);
    }
    const auto& document_text = std::get<std::string>(text);
    const auto& format = choose_format(formats.formats, options.type, document_text);
    const auto document = read_document(format, document_text);
    plan_report report{format.name, document.content, plan_check{std::get<fleet_facts>(facts)}.run(document),
                       std::nullopt};
    if (has_version_in_force(options)) {
        const auto in_force = read_in_force(options, format);
        if (const auto* problem = std::get_if<error>(&in_force)) {
            std::cout << (options.output == "json" ? to_json(report) : to_text(report));
            return fail(*problem);
        }
        add_difference(std::get<plan_document>(in_force), document, report);
    }
    std::cout << (options.output == "json" ? to_json(report) : to_text(report));
    return status_of(report.findings);
}

void add_options(CLI::App& app, check_options& options, const plan_check_formats& formats) {
    std::vector<std::string> types{"auto"};
    for (const auto& it : formats.formats) {
        types.push_back(it.name);
    }
    app.add_option("plan", options.path, "Plan to check")->required()->type_name("FILE");
    app.add_option("--type", options.type, "Format of the plan")->check(CLI::IsMember(types));
    app.add_option("--format", options.output, "Format of the report: text or json")
        ->check(CLI::IsMember({"text", "json"}));
    auto* in_force = app.add_option("--in-force", options.in_force_path, "Compare with the plan in this file")
                         ->type_name("FILE");
    app.add_option("--ask", options.address,
                   "Compare with the plan of the node with this operator address (IP:port)")
        ->excludes(in_force);
    app.add_option("--limit-ms", options.limit_ms, "Timeout of the node, in ms")
        ->check(CLI::Range(10, 60'000));
    app.add_option("--settings", options.settings_path, "Settings of a node, for the fleet's retry budget")
        ->type_name("FILE");
    app.add_option("--targets", options.targets,
                   "Number of targets of a service, for plans that do not list them; repeatable")
        ->type_name("SERVICE=COUNT")
        ->take_all();
    app.add_option("--slots", options.slots,
                   "Slots of a server of a service, for plans that do not list targets; repeatable")
        ->type_name("SERVICE=COUNT")
        ->take_all();
    app.add_option("--memory-mb", options.memory_mb, "Memory of a node, in MiB")
        ->check(CLI::Range(1, 1'000'000))
        ->capture_default_str();
}

} // namespace

int run_plan_check(int argc, const char* const* argv, const plan_check_formats& formats) {
    CLI::App app{description, program_name};
    app.footer(example);
    check_options options;
    add_options(app, options, formats);
    if (const auto status = parse_command_line(app, argc, argv)) {
        return *status == exit_success ? exit_plan_clean : exit_plan_errors;
    }
    return check(options, formats);
}

} // namespace cornelpier
