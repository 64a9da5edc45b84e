#include "tests/process/support/small_fleet.hpp"

#include "tests/process/support/http_call.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace cornelpier::test {

namespace {

const std::array<std::string, 3> targets{"comenzi-1", "comenzi-2", "atelier-1"};

/// Offsets of the ports of a target; the platform stand-in uses the last port of the range.
enum port_kind { callers_port, node_port, operator_port, server_port, platform_port };
constexpr int ports_per_fleet = 16;
constexpr int ports_per_target = 4;

bool is_port_free(int port, int type) {
    const int socket_id = socket(AF_INET, type, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int on = 1;
    setsockopt(socket_id, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const bool result = bind(socket_id, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    close(socket_id);
    return result;
}

/// The ports lie below the kernel's ephemeral range, so that outgoing connections cannot occupy them.
int find_free_port_range() {
    constexpr int lowest_port = 10000;
    constexpr int range_count = 600;
    static int attempt = 0;
    while (attempt < range_count) {
        const int base = lowest_port + (getpid() + attempt++) % range_count * ports_per_fleet;
        bool free = true;
        for (int port = base; port < base + ports_per_fleet; ++port) {
            free = free && is_port_free(port, SOCK_STREAM) && is_port_free(port, SOCK_DGRAM);
        }
        if (free) {
            return base;
        }
    }
    throw std::runtime_error("no free port range on 127.0.0.1");
}

std::string service_of(const std::string& target) {
    return target.substr(0, target.find('-'));
}

std::string data_centre_of(const std::string& target) {
    const auto n = std::ranges::find(targets, target) - targets.begin();
    return "brasov-" + std::to_string(n + 1);
}

} // namespace

small_fleet::small_fleet(const std::string& service_ms)
    : m_directory(std::filesystem::temp_directory_path() / ("cornelpier-test-" + std::to_string(getpid()))),
      m_first_port(find_free_port_range()), m_service_ms(service_ms) {
    std::filesystem::remove_all(m_directory);
    std::filesystem::create_directories(m_directory);
    write_plan();
    m_stand_ins.emplace_back(std::vector<std::string>{CORNELPIER_PLATFORM_STANDIN, "--listen",
                                                      address("", platform_port), "--plan",
                                                      file_path("plan.json")},
                             file_path("platform.log"));

    for (const auto& target : targets) {
        write_settings(target);
        start_server(target);
        start_node(target);
    }
    for (const auto& target : targets) {
        if (!wait_until_serving(target)) {
            throw std::runtime_error(target + " did not start serving within 10 s");
        }
    }
}

void small_fleet::start_server(const std::string& target) {
    m_stand_ins.emplace_back(
        std::vector<std::string>{CORNELPIER_SERVER_STANDIN, "--listen", server_address(target), "--name",
                                 target, "--service-ms", m_service_ms, "--deadly-path", deadly_path},
        file_path(target + "-server.log"));
}

small_fleet::~small_fleet() {
    m_nodes.clear();
    m_stand_ins.clear();
    std::error_code ec;
    std::filesystem::remove_all(m_directory, ec);
}

int small_fleet::port(const std::string& target, int kind) const {
    if (kind == platform_port) {
        return m_first_port + ports_per_fleet - 1;
    }
    const auto n = static_cast<int>(std::ranges::find(targets, target) - targets.begin());
    return m_first_port + n * ports_per_target + kind;
}

std::string small_fleet::address(const std::string& target, int kind) const {
    return "127.0.0.1:" + std::to_string(port(target, kind));
}

std::uint16_t small_fleet::link_port(const std::string& target) const {
    return static_cast<std::uint16_t>(port(target, node_port));
}

std::string small_fleet::caller_address(const std::string& target) const {
    return address(target, callers_port);
}

std::string small_fleet::server_address(const std::string& target) const {
    return address(target, server_port);
}

std::string small_fleet::operator_address(const std::string& target) const {
    return address(target, operator_port);
}

std::string small_fleet::platform_address() const {
    return address("", platform_port);
}

std::string small_fleet::plan_sheet(int version, const std::string& trailing_space) const {
    std::ifstream in(file_path("plan.json"));
    std::string sheet{std::istreambuf_iterator<char>(in), {}};
    const std::string first = "\"version\": 1,";
    return sheet.replace(sheet.find(first), first.size(), "\"version\": " + std::to_string(version) + ",") +
           trailing_space;
}

std::string small_fleet::settings_path(const std::string& target) const {
    return file_path(target + ".json");
}

int small_fleet::executions(const std::string& identity) const {
    int total = 0;
    for (const auto& target : targets) {
        if (service_of(target) == "comenzi") {
            const auto answer = call(server_address(target), get_request("/executions", "comenzi"));
            total += nlohmann::json::parse(answer.body).value(identity, 0);
        }
    }
    return total;
}

void small_fleet::start_node(const std::string& target, std::optional<std::size_t> data_limit_bytes) {
    m_nodes.erase(target);
    m_nodes.emplace(target, child_process({CORNELPIER_NODE, "--settings", settings_path(target)},
                                          file_path(target + ".log"), data_limit_bytes));
}

bool small_fleet::wait_until_serving(const std::string& target) const {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{10};
    while (std::chrono::steady_clock::now() < end) {
        try {
            if (call(caller_address(target), get_request("/ready", "comenzi")).status == 200) {
                return true;
            }
        } catch (const std::runtime_error&) {
            // The node is not listening yet.
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{5});
    }
    return false;
}

void small_fleet::write_plan() const {
    std::ofstream out(file_path("plan.json"));
    out << R"({"version": 1, "deployment": "ro-centru", "services": [)";
    for (const std::string service : {"comenzi", "atelier"}) {
        out << (service == "comenzi" ? "" : ", ") << R"({"id": ")" << service << R"(", "deadline_ms": 2000,
 "tail_weight": 0.9, "measuring_per_second": 20, "slots": 10, "key_memory_s": 1, "refusal_statuses": [503],
 "rules": [{"method": "GET", "path_prefix": "/", "idempotent": true, "class": "urgent_lookup"},
           {"method": "POST", "path_prefix": "/orders", "idempotent": false, "class": "order"}], "targets": [)";
        const char* separator = "";
        for (const auto& target : targets) {
            if (service_of(target) != service) {
                continue;
            }
            out << separator << R"({"id": ")" << target << R"(", "vm": "vm-)" << target
                << R"(", "data_centre": ")" << data_centre_of(target) << R"(", "node": ")"
                << address(target, node_port) << R"("})";
            separator = ", ";
        }
        out << "]}";
    }
    out << "]}";
}

void small_fleet::write_settings(const std::string& target) const {
    std::ofstream out(settings_path(target));
    out << R"({"target": ")" << target << R"(", "vm": "vm-)" << target << R"(", "data_centre": ")"
        << data_centre_of(target) << R"(", "service": ")" << service_of(target) << R"(", "caller_address": ")"
        << caller_address(target) << R"(", "node_address": ")" << address(target, node_port)
        << R"(", "operator_address": ")" << address(target, operator_port) << R"(", "server_address": ")"
        << server_address(target) << R"(", "server_report_path": "/load", "configuration_address": ")"
        << address("", platform_port) << R"(", "configuration_path": "/plan", "vm_list_address": ")"
        << address("", platform_port) << R"(", "vm_list_path": "/vms", "seeds": [)"
        << R"({"target": "comenzi-1", "node": ")" << address("comenzi-1", node_port) << R"("}, )"
        << R"({"target": "atelier-1", "node": ")" << address("atelier-1", node_port)
        << R"("}], "log": {"format": "json", "level": "debug"}, "traffic_threads": 2})";
}

} // namespace cornelpier::test
