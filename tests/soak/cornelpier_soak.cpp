#include "tests/soak/soak_runner.hpp"

#include <CLI/CLI.hpp>

#include <exception>
#include <filesystem>
#include <iostream>
#include <unistd.h>

namespace {

using namespace cornelpier::soak;

/// Runs one schedule per seed and stops at the first seed with a violation.
int run_seeds(const soak_options& base_options, std::uint32_t count) {
    for (std::uint32_t n = 0; n < count; ++n) {
        soak_options options = base_options;
        options.seed = base_options.seed + n;
        options.directory =
            std::filesystem::temp_directory_path() /
            ("cornelpier-soak-" + std::to_string(options.seed) + '-' + std::to_string(getpid()));
        const auto violations = soak_runner{options}.run();
        if (!violations.empty()) {
            for (const auto& it : violations) {
                std::cout << it << '\n';
            }
            std::cout << "logs in " << options.directory << '\n';
            return 1;
        }
        std::filesystem::remove_all(options.directory);
    }
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app{
        "Injects random faults into node processes on loopback and checks the guarantees to callers.",
        "cornelpier-soak"};
    soak_options options;
    options.sidecar = CORNELPIER_SIDECAR;
    std::uint32_t count = 1;
    int seconds = 16;
    app.add_option("--seed", options.seed, "First seed");
    app.add_option("--count", count, "Number of consecutive seeds to run")->check(CLI::Range(1, 10'000));
    app.add_option("--seconds", seconds, "Length of the fault schedule in seconds")
        ->check(CLI::Range(1, 3600));
    app.add_option("--vms", options.vms, "Number of VMs, each with a node and a server")
        ->check(CLI::Range(2, 100));
    app.add_option("--connections", options.connections,
                   "Caller connections per node; every other node has four times as many")
        ->check(CLI::Range(1, 50));
    app.add_option("--program", options.sidecar, "Path of the sidecar program")->check(CLI::ExistingFile);
    app.add_flag("--verbose", options.verbose, "Print the start and end of each event");
    CLI11_PARSE(app, argc, argv);
    options.length = std::chrono::seconds{seconds};
    try {
        return run_seeds(options, count);
    } catch (const std::exception& problem) {
        std::cerr << "cornelpier-soak: " << problem.what() << '\n';
        return 2;
    }
}
