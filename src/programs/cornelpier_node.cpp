#include "daemon/node/node_daemon.hpp"
#include "daemon/program/program.hpp"
#include "daemon/settings/settings_file.hpp"

#include <CLI/CLI.hpp>

#include <iostream>
#include <string>
#include <utility>

namespace {

int run(int argc, char** argv) {
    CLI::App app{
        "Node of the cornelpier load balancer: accepts calls from callers and runs requests on one server.",
        "cornelpier-node"};
    std::string path;
    bool check = false;
    app.add_option("--settings", path, "Settings file (JSON)")->required()->type_name("FILE");
    app.add_flag("--check", check, "Validate the settings and exit");
    if (const auto status = cornelpier::parse_command_line(app, argc, argv)) {
        return *status;
    }

    auto file = cornelpier::load_settings_file(path);
    if (!file) {
        return cornelpier::exit_bad_input;
    }
    if (check) {
        std::cout << path << ": valid\n";
        return 0;
    }
    cornelpier::node_daemon node(std::move(file->settings));
    return node.run();
}

} // namespace

int main(int argc, char** argv) {
    return cornelpier::run_with_error_report("cornelpier-node", [&] { return run(argc, argv); });
}
