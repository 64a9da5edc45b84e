#include "tests/untrusted_callers/support/limited_node.hpp"

#include "tests/process/support/becomes_true.hpp"
#include "tests/process/support/http_call.hpp"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>

namespace cornelpier::test {

namespace {

constexpr const char* target = "comenzi-1";

/// Long enough for a slow machine; refusals and closed connections are repeated within it.
constexpr std::chrono::seconds patience{30};

bool answers_200(const std::string& address, const std::string& request) {
    return becomes_true(patience, [&] {
        try {
            return call(address, request).status == 200;
        } catch (const std::runtime_error&) {
            return false;
        }
    });
}

} // namespace

limited_node::limited_node(int memory_limit_mb, std::optional<std::size_t> data_limit_bytes) {
    const auto path = m_fleet.settings_path(target);
    auto settings = nlohmann::json::parse(std::ifstream{path});
    settings["memory_limit_mb"] = memory_limit_mb;
    // Debug lines of each request would be counted as memory of the callers.
    settings["log"]["level"] = "info";
    std::ofstream{path} << settings.dump();
    m_fleet.start_node(target, data_limit_bytes);
    if (!m_fleet.wait_until_serving(target)) {
        throw std::runtime_error("the limited node did not start serving");
    }
    m_process = m_fleet.node(target).id();
}

std::string limited_node::caller_address() const {
    return m_fleet.caller_address(target);
}

std::string limited_node::operator_address() const {
    return m_fleet.operator_address(target);
}

bool limited_node::lives() {
    return !m_fleet.node(target).wait(std::chrono::milliseconds{0});
}

std::string limited_node::process_path(const std::string& name) const {
    return "/proc/" + std::to_string(m_process) + '/' + name;
}

std::size_t limited_node::status_bytes(const std::string& field) const {
    constexpr std::size_t bytes_per_kb = 1024;
    std::ifstream in{process_path("status")};
    std::string name;
    std::size_t value = 0;
    while (in >> name) {
        if (name == field && in >> value) {
            return value * bytes_per_kb;
        }
    }
    return 0;
}

std::size_t limited_node::resident_bytes() const {
    return status_bytes("VmRSS:");
}

std::size_t limited_node::peak_resident_bytes() const {
    return status_bytes("VmHWM:");
}

std::size_t limited_node::descriptors() const {
    const std::filesystem::directory_iterator entries{process_path("fd")};
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

bool limited_node::serves_lookup() const {
    return answers_200(caller_address(), get_request("/lookup", "comenzi"));
}

bool limited_node::serves_operator() const {
    return answers_200(operator_address(), get_request("/state", "node"));
}

bool limited_node::log_contains(const std::string& text) const {
    std::ifstream log{m_fleet.file_path(std::string{target} + ".log")};
    return std::string{std::istreambuf_iterator<char>{log}, {}}.find(text) != std::string::npos;
}

} // namespace cornelpier::test
