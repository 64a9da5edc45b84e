#include "tests/soak/soak_fleet.hpp"

#include "tests/process/support/sidecar_documents.hpp"

#include <fstream>
#include <unistd.h>

namespace cornelpier::soak {

namespace {

using nlohmann::json;

// Ports of a VM. All VMs use the same ports on different loopback addresses. Peers connect to the proxies;
// the processes listen on the real_ ports.
constexpr int caller_port = 28301;
constexpr int ready_port = 28302;
constexpr int server_port = 28303;
constexpr int node_port = 28304;
constexpr int operator_port = 28305;
constexpr int store_port = 28306;
constexpr int real_server_port = 28313;
constexpr int real_node_port = 28314;
constexpr int real_store_port = 28316;

/// Start time of the first instance of a server; each later instance adds 1 ms.
constexpr int first_born_ms = 1000;

constexpr int store_vm = 249; ///< Index that gives the store its own loopback address.

std::string subnet() {
    return "127.11." + std::to_string(getpid() % 250) + '.';
}

std::string plan_text(int version) {
    const std::string versioned = "/v" + std::to_string(version) + '/';
    const json rows =
        json::array({test::route_row("r-safe", "soak.example", "/safe/", "safe", "orders"),
                     test::route_row("r-unsafe", "soak.example", "/unsafe/", "unsafe", "orders"),
                     test::route_row("r-new", "soak.example", versioned, "safe", "orders")});
    return test::manifest_json(version, rows, "orders");
}

std::string data_centre_of(int vm) {
    return vm % 2 == 0 ? "a" : "b";
}

} // namespace

soak_fleet::soak_fleet(boost::asio::io_context& context, invariant_checker& checker, std::string sidecar,
                       std::filesystem::path directory, int vms_wanted, std::uint32_t seed)
    : store(context, endpoint(store_vm, store_port)), m_context(context), m_sidecar(std::move(sidecar)),
      m_directory(std::move(directory)) {
    std::filesystem::create_directories(m_directory);
    store.put("op/config", plan_text(m_plan_version));
    vms.resize(static_cast<std::size_t>(vms_wanted));
    for (int vm = 0; vm < vms_wanted; ++vm) {
        auto& it = vms[static_cast<std::size_t>(vm)];
        it.server = std::make_unique<soak_server>(context, endpoint(vm, real_server_port), checker,
                                                  seed + static_cast<std::uint32_t>(vm));
        it.link_proxy =
            std::make_unique<loopback_proxy>(context, endpoint(vm, node_port), endpoint(vm, real_node_port));
        store.add_front(endpoint(vm, real_store_port));
        it.store_proxy = std::make_unique<loopback_proxy>(context, endpoint(vm, store_port),
                                                          endpoint(vm, real_store_port));
        it.server_proxy = std::make_unique<loopback_proxy>(context, endpoint(vm, server_port),
                                                           endpoint(vm, real_server_port));
        it.server->instance = "i-" + std::to_string(vm) + "-0";
        write_server_entry(vm, "ready");
        write_settings(vm);
    }
}

void soak_fleet::start_node(int vm) {
    const std::string settings = settings_path(vm);
    vms[static_cast<std::size_t>(vm)].node.emplace(
        std::vector<std::string>{m_sidecar, "--settings", settings}, settings + ".log");
}

void soak_fleet::change_plan() {
    store.put("op/config", plan_text(++m_plan_version));
}

void soak_fleet::write_plan_again() {
    store.put("op/config", plan_text(m_plan_version));
}

void soak_fleet::replace_server(int vm) {
    auto& it = vms[static_cast<std::size_t>(vm)];
    store.remove("servers/" + it.server->instance);
    it.server->restart_as("i-" + std::to_string(vm) + '-' + std::to_string(++it.restarts));
    write_server_entry(vm, "ready");
}

void soak_fleet::remove_server_entry(int vm) {
    store.remove("servers/" + vms[static_cast<std::size_t>(vm)].server->instance);
}

void soak_fleet::refuse_store(int vm, standins::store_refusal refusal) {
    store.refuse(endpoint(vm, real_store_port), refusal);
}

void soak_fleet::write_server_entry(int vm, const std::string& state) {
    const auto& it = vms[static_cast<std::size_t>(vm)];
    const std::uint64_t sequence = state == "ready" ? 1 : 2;
    store.put("servers/" + it.server->instance,
              test::server_entry_json({endpoint(vm, server_port), "orders", data_centre_of(vm), state,
                                       sequence, static_cast<std::uint64_t>(first_born_ms + it.restarts)}));
}

std::string soak_fleet::caller_address(int vm) const {
    return endpoint(vm, caller_port);
}

std::string soak_fleet::readiness_address(int vm) const {
    return endpoint(vm, ready_port);
}

std::string soak_fleet::endpoint(int vm, int port) const {
    return subnet() + std::to_string(vm + 1) + ':' + std::to_string(port);
}

std::filesystem::path soak_fleet::settings_path(int vm) const {
    return m_directory / ("node-" + std::to_string(vm));
}

void soak_fleet::write_settings(int vm) const {
    const std::string ip = subnet() + std::to_string(vm + 1);
    auto settings = test::sidecar_settings({.ip = ip,
                                            .vm = "vm-" + std::to_string(vm),
                                            .data_centre = data_centre_of(vm),
                                            .service = "orders",
                                            .caller_address = endpoint(vm, caller_port),
                                            .readiness_address = endpoint(vm, ready_port),
                                            .node_address = endpoint(vm, real_node_port),
                                            .operator_address = endpoint(vm, operator_port),
                                            .server_address = endpoint(vm, server_port),
                                            .store_address = endpoint(vm, store_port),
                                            .first_port = node_port,
                                            .last_port = operator_port});
    settings["log"] = {{"format", "json"}, {"level", "debug"}};
    std::ofstream{settings_path(vm)} << settings.dump();
}

} // namespace cornelpier::soak
