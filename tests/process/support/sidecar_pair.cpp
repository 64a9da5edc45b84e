#include "tests/process/support/sidecar_pair.hpp"

#include "tests/process/support/sidecar_documents.hpp"

#include <fstream>
#include <system_error>
#include <unistd.h>

namespace cornelpier::test {

namespace {

/// All VMs use the same ports on different loopback addresses.
constexpr int caller_port = 28201;
constexpr int ready_port = 28202;
constexpr int server_port = 28203;
constexpr int node_port = 28204;
constexpr int operator_port = 28205;
constexpr int store_port = 28206;
constexpr int store_vm = 9;
constexpr int vm_count = 2;

std::string vm_address(int vm) {
    return "127.10." + std::to_string(getpid() % 250) + '.' + std::to_string(vm + 1);
}

std::string vm_endpoint(int vm, int port) {
    return vm_address(vm) + ':' + std::to_string(port);
}

} // namespace

sidecar_pair::sidecar_pair(const std::string& service, const std::string& manifest,
                           const std::vector<int>& servers)
    : m_directory(std::filesystem::temp_directory_path() / ("cornelpier-pair-" + std::to_string(getpid()))),
      m_store(m_context, vm_endpoint(store_vm, store_port)) {
    std::filesystem::create_directories(m_directory);
    m_store.put("op/config", manifest);
    for (const int vm : servers) {
        m_store.put("servers/i-" + std::to_string(vm),
                    server_entry_json({server_address(vm), service, "z", "ready"}));
    }
    m_thread = std::thread([this] { m_context.run(); });
    for (int vm = 0; vm < vm_count; ++vm) {
        write_settings(vm, service);
        m_nodes.emplace_back(std::vector<std::string>{CORNELPIER_SIDECAR, "--settings", file(vm)},
                             file(vm) + ".log");
    }
}

sidecar_pair::~sidecar_pair() {
    stop();
    std::error_code ec;
    std::filesystem::remove_all(m_directory, ec);
}

void sidecar_pair::stop() {
    m_nodes.clear();
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

std::string sidecar_pair::caller_address(int vm) {
    return vm_endpoint(vm, caller_port);
}

std::string sidecar_pair::server_address(int vm) {
    return vm_endpoint(vm, server_port);
}

std::string sidecar_pair::operator_address(int vm) {
    return vm_endpoint(vm, operator_port);
}

void sidecar_pair::write_settings(int vm, const std::string& service) const {
    auto settings = sidecar_settings({.ip = vm_address(vm),
                                      .vm = "vm-" + std::to_string(vm),
                                      .data_centre = "z",
                                      .service = service,
                                      .caller_address = caller_address(vm),
                                      .readiness_address = vm_endpoint(vm, ready_port),
                                      .node_address = vm_endpoint(vm, node_port),
                                      .operator_address = operator_address(vm),
                                      .server_address = server_address(vm),
                                      .store_address = vm_endpoint(store_vm, store_port),
                                      .first_port = node_port,
                                      .last_port = operator_port});
    // Tests provoke more repeats than the default allows.
    settings["adapter"]["bounds"]["retry_slack"] = 1000;
    std::ofstream{file(vm)} << settings.dump();
}

} // namespace cornelpier::test
