/// Measures the latency that the nodes add: each thread alternates direct calls to a server with calls
/// through the nodes, so that both are measured under the same load.

#include "tests/process/support/http_call.hpp"
#include "tests/process/support/small_fleet.hpp"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <mutex>
#include <thread>
#include <vector>

namespace {

using namespace cornelpier::test;
using clock_type = std::chrono::steady_clock;

struct samples {
    std::vector<double> direct;
    std::vector<double> via_nodes;
    int failures = 0;
};

double timed_call(caller_connection& connection, const std::string& request, int& failures) {
    const auto begin = clock_type::now();
    const auto answer = connection.send(request);
    failures += answer.status == 200 ? 0 : 1;
    return std::chrono::duration<double, std::milli>(clock_type::now() - begin).count();
}

samples measure(const small_fleet& fleet, int calls, int thread_index) {
    const std::string target = thread_index % 2 == 0 ? "comenzi-1" : "comenzi-2";
    caller_connection direct(fleet.server_address(target));
    caller_connection via_nodes(fleet.caller_address("atelier-1"));
    const std::string request = get_request("/orders/17", "comenzi");
    samples result;
    constexpr int warm_up_calls = 50;
    for (int n = 0; n < calls + warm_up_calls; ++n) {
        const double first = timed_call(direct, request, result.failures);
        const double second = timed_call(via_nodes, request, result.failures);
        if (n >= warm_up_calls) {
            result.direct.push_back(first);
            result.via_nodes.push_back(second);
        }
    }
    return result;
}

double quantile(std::vector<double>& values, double q) {
    std::ranges::sort(values);
    return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
}

void report(const char* title, samples& all) {
    const double direct_p50 = quantile(all.direct, 0.5);
    const double direct_p99 = quantile(all.direct, 0.99);
    const double via_nodes_p50 = quantile(all.via_nodes, 0.5);
    const double via_nodes_p99 = quantile(all.via_nodes, 0.99);
    std::printf(
        "%s: %zu calls each, %d failed; direct p50 %.3f p99 %.3f ms; through two nodes p50 %.3f p99 %.3f "
        "ms; added p50 %.3f p99 %.3f ms\n",
        title, all.direct.size(), all.failures, direct_p50, direct_p99, via_nodes_p50, via_nodes_p99,
        via_nodes_p50 - direct_p50, via_nodes_p99 - direct_p99);
}

void run(const small_fleet& fleet, const char* title, int threads, int calls) {
    samples all;
    std::mutex mutex;
    std::vector<std::thread> workers;
    for (int n = 0; n < threads; ++n) {
        workers.emplace_back([&, n] {
            auto part = measure(fleet, calls / threads, n);
            const std::lock_guard lock(mutex);
            all.direct.insert(all.direct.end(), part.direct.begin(), part.direct.end());
            all.via_nodes.insert(all.via_nodes.end(), part.via_nodes.begin(), part.via_nodes.end());
            all.failures += part.failures;
        });
    }
    for (auto& it : workers) {
        it.join();
    }
    report(title, all);
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app{"Measures the latency that two nodes add to a call"};
    int calls = 4000;
    std::string service_ms = "0.2";
    app.add_option("--calls", calls, "calls per phase and path (direct, through the nodes)");
    app.add_option("--service-ms", service_ms, "mean service time of the servers");
    CLI11_PARSE(app, argc, argv);

    try {
        const small_fleet fleet(service_ms);
        run(fleet, "sequential", 1, calls);
        run(fleet, "20 at a time", 20, calls);
    } catch (const std::exception& problem) {
        std::cerr << problem.what() << '\n';
        return 1;
    }
    return 0;
}
