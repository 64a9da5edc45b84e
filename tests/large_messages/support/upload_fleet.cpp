#include "tests/large_messages/support/upload_fleet.hpp"

#include "tests/process/support/becomes_true.hpp"
#include "tests/process/support/sidecar_documents.hpp"

#include <nlohmann/json.hpp>

#include <atomic>
#include <fstream>
#include <stdexcept>
#include <unistd.h>

namespace cornelpier::test {

namespace {

using nlohmann::json;

/// All VMs use the same ports on different loopback addresses.
constexpr int caller_port = 28201;
constexpr int ready_port = 28202;
constexpr int server_port = 28203;
constexpr int node_port = 28204;
constexpr int store_port = 28206;
constexpr int store_vm = 9;

std::string vm_address(int vm) {
    return "127.10." + std::to_string(getpid() % 250) + '.' + std::to_string(vm + 1);
}

std::string vm_endpoint(int vm, int port) {
    return vm_address(vm) + ':' + std::to_string(port);
}

std::string make_manifest(std::size_t max_body_bytes) {
    json rows = json::array({route_row("upload", "a.example", "/u/", "unsafe", "vault"),
                             route_row("download", "a.example", "/d/", "download", "vault")});
    for (auto& row : rows) {
        row[4] = "30s"; // The timeout, for slow machines.
    }
    auto result = json::parse(manifest_json(3, rows, "vault"));
    result["limits"]["max_body_bytes"] = max_body_bytes;
    return result.dump();
}

std::string download(std::size_t size) {
    std::string result(size, '\0');
    for (std::size_t n = 0; n < size; ++n) {
        result[n] = static_cast<char>(n / 255 + n);
    }
    return result;
}

void serve(const std::shared_ptr<standins::http_exchange>& it) {
    const auto& request = it->request();
    it->response_fields = {{"X-Instance-Id", "i-1"}, {"X-Server-Load", "0,0,4,100"}};
    const std::string target{request.target()};
    if (target == "/health") {
        it->respond(200, "");
        return;
    }
    it->response_fields.emplace_back("X-Attempt-Id", std::string{request["X-Attempt-Id"]});
    it->response_fields.emplace_back("X-Response-Seal", "s");
    it->respond(200, target.starts_with("/d/") ? download(std::stoul(target.substr(3)))
                                               : upload_fleet::describe(request.body()));
}

} // namespace

upload_fleet::upload_fleet(std::size_t max_body_bytes)
    : m_directory(std::filesystem::temp_directory_path() /
                  ("cornelpier-large-messages-" + std::to_string(getpid()))),
      m_store(std::make_unique<standins::store_standin>(m_context, vm_endpoint(store_vm, store_port))),
      m_server(std::make_unique<standins::http_service>(m_context, vm_endpoint(owner, server_port), serve)) {
    std::filesystem::create_directories(m_directory);
    m_store->put("op/config", make_manifest(max_body_bytes));
    m_store->put("servers/i-1", server_entry_json({vm_endpoint(owner, server_port), "vault", "z", "ready"}));
    m_thread = std::thread([this] { m_context.run(); });
    for (const int vm : {entry, owner}) {
        write_settings(vm);
        m_nodes.emplace_back(std::vector<std::string>{CORNELPIER_SIDECAR, "--settings", file(vm)},
                             file(vm) + ".log");
    }
}

upload_fleet::~upload_fleet() {
    m_nodes.clear();
    m_context.stop();
    m_thread.join();
    std::error_code ec;
    std::filesystem::remove_all(m_directory, ec);
}

bool upload_fleet::wait_until_serving() {
    return becomes_true(std::chrono::seconds{10}, [] {
        try {
            return call(get_request("/d/1", "a.example", fields())).status == 200;
        } catch (const std::runtime_error&) {
            return false; // The node is not listening yet.
        }
    });
}

http_response upload_fleet::call(const std::string& bytes) {
    return test::call(vm_endpoint(entry, caller_port), bytes);
}

std::string upload_fleet::fields() {
    static std::atomic<int> last_id = 0;
    return "X-Attempt-Id: " + std::to_string(++last_id) + "\r\nX-Deadline-Ms: 30000\r\n";
}

std::string upload_fleet::describe(const std::string& body) {
    return std::to_string(body.size()) + ' ' + std::to_string(std::hash<std::string>{}(body));
}

std::size_t upload_fleet::peak_resident_bytes(int vm) const {
    std::ifstream status("/proc/" + std::to_string(m_nodes.at(static_cast<std::size_t>(vm)).pid()) +
                         "/status");
    const std::string name = "VmHWM:";
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name)) {
            constexpr std::size_t kib = 1024;
            return std::stoul(line.substr(name.size())) * kib;
        }
    }
    throw std::runtime_error("no peak of the resident memory");
}

std::string upload_fleet::metric(int vm, const std::string& name) {
    const auto page = test::call(vm_endpoint(vm, node_port + 1), get_request("/metrics", "node")).body;
    const auto start = page.find('\n' + name + ' ');
    if (start == std::string::npos) {
        return "";
    }
    const auto value = start + name.size() + 2;
    return page.substr(value, page.find('\n', value) - value);
}

void upload_fleet::write_settings(int vm) const {
    const auto settings = sidecar_settings({.ip = vm_address(vm),
                                            .vm = "vm-" + std::to_string(vm),
                                            .data_centre = "z",
                                            .service = "vault",
                                            .caller_address = vm_endpoint(vm, caller_port),
                                            .readiness_address = vm_endpoint(vm, ready_port),
                                            .node_address = vm_endpoint(vm, node_port),
                                            .operator_address = vm_endpoint(vm, node_port + 1),
                                            .server_address = vm_endpoint(vm, server_port),
                                            .store_address = vm_endpoint(store_vm, store_port),
                                            .first_port = node_port,
                                            .last_port = node_port + 1});
    std::ofstream{file(vm)} << settings.dump();
}

} // namespace cornelpier::test
