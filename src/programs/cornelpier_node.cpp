#include "daemon/node/node_daemon.hpp"
#include "daemon/program/program.hpp"
#include "daemon/settings/node_settings.hpp"

#include <CLI/CLI.hpp>

#include <iostream>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace {

/// @return the settings, or nothing after a message for each mistake.
std::optional<cornelpier::node_settings> read_settings(const std::string& path) {
    const auto text = cornelpier::read_file(path);
    if (!text) {
        std::cerr << path << ": cannot be read\n";
        return std::nullopt;
    }

    auto outcome = cornelpier::check_node_settings(*text);
    if (auto* settings = std::get_if<cornelpier::node_settings>(&outcome)) {
        return std::move(*settings);
    }
    for (const auto& it : std::get<std::vector<cornelpier::error>>(outcome)) {
        std::cerr << path << ": " << it.place << ": " << it.reason << '\n';
    }
    return std::nullopt;
}

int run(int argc, char** argv) {
    CLI::App app{"Node of the cornelpier load balancer: entry for callers and owner of one server.",
                 "cornelpier-node"};
    std::string path;
    bool check = false;
    app.add_option("--settings", path, "Settings file (JSON)")->required()->type_name("FILE");
    app.add_flag("--check", check, "Check the settings and exit");
    if (const auto status = cornelpier::parse_command_line(app, argc, argv)) {
        return *status;
    }

    auto settings = read_settings(path);
    if (!settings) {
        return cornelpier::exit_bad_input;
    }
    if (check) {
        std::cout << path << ": valid\n";
        return 0;
    }
    cornelpier::node_daemon node(*std::move(settings));
    return node.run();
}

} // namespace

int main(int argc, char** argv) {
    return cornelpier::run_guarded("cornelpier-node", [&] { return run(argc, argv); });
}
