#include "tests/daemon/support/raw_connection.hpp"
#include "tests/process/support/becomes_true.hpp"
#include "tests/process/support/child_process.hpp"
#include "tests/process/support/http_call.hpp"
#include "tests/process/support/sidecar_documents.hpp"
#include "tests/standins/store_standin.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <map>
#include <set>
#include <thread>
#include <unistd.h>

namespace cornelpier {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using test::becomes_true;
using test::call;
using test::get_request;

/// Ports of a VM. All VMs use the same ports on different loopback addresses.
constexpr int caller_port = 28101;
constexpr int ready_port = 28102;
constexpr int server_port = 28103;
constexpr int node_port = 28104;
constexpr int store_port = 28106;

/// Orders under this prefix take the time in milliseconds that follows.
const std::string work_prefix = "/o/";

std::string vm_address(int vm) {
    return "127.9." + std::to_string(getpid() % 250) + '.' + std::to_string(vm + 1);
}

std::string vm_endpoint(int vm, int port) {
    return vm_address(vm) + ':' + std::to_string(port);
}

std::string manifest(int version, bool with_new_route) {
    json rows = json::array({test::route_row("r-1", "a.example", "/l/", "safe", "status")});
    if (with_new_route) {
        rows.push_back(test::route_row("r-2", "a.example", "/new/", "safe", "status"));
    }
    return test::manifest_json(version, rows, "status");
}

std::string server_entry(int vm, const std::string& state) {
    return test::server_entry_json({vm_endpoint(vm, server_port), "status", "z", state});
}

/// Store, two servers and two sidecars on loopback. The destructor ends all of them.
class sidecar_fleet {
  public:
    sidecar_fleet() : m_store(m_context, vm_endpoint(9, store_port)) {
        m_directory =
            std::filesystem::temp_directory_path() / ("cornelpier-sidecar-" + std::to_string(getpid()));
        std::filesystem::create_directories(m_directory);
        m_store.put("op/config", manifest(3, false));
        for (int vm = 0; vm < 2; ++vm) {
            m_store.put("servers/i-" + std::to_string(vm), server_entry(vm, "ready"));
            m_servers.push_back(std::make_unique<standins::http_service>(
                m_context, vm_endpoint(vm, server_port), [this, vm](const auto& it) { serve(vm, it); }));
        }
        m_thread = std::thread([this] { m_context.run(); });
        for (int vm = 0; vm < 2; ++vm) {
            write_settings(vm);
            nodes.emplace_back(std::vector<std::string>{CORNELPIER_SIDECAR, "--settings", file(vm)},
                               file(vm) + ".log");
        }
    }

    ~sidecar_fleet() {
        nodes.clear();
        m_context.stop();
        m_thread.join();
        std::filesystem::remove_all(m_directory);
    }

    sidecar_fleet(const sidecar_fleet&) = delete;
    sidecar_fleet& operator=(const sidecar_fleet&) = delete;
    sidecar_fleet(sidecar_fleet&&) = delete;
    sidecar_fleet& operator=(sidecar_fleet&&) = delete;

    /// Calls the function with the store on the thread of its io_context and returns the result.
    template <typename Function>
    auto with_store(Function function) {
        std::promise<decltype(function(m_store))> result;
        boost::asio::post(m_context, [&] {
            if constexpr (std::is_void_v<decltype(function(m_store))>) {
                function(m_store);
                result.set_value();
            } else {
                result.set_value(function(m_store));
            }
        });
        return result.get_future().get();
    }

    static int request_status(int vm, const std::string& path) {
        try {
            return call(vm_endpoint(vm, caller_port),
                        get_request(path, "a.example",
                                    "X-Attempt-Id: " + std::to_string(++last_id) +
                                        "\r\nX-Deadline-Ms: 1500\r\n"))
                .status;
        } catch (const std::runtime_error&) {
            return 0;
        }
    }

    static int readiness_status(int vm) {
        try {
            return call(vm_endpoint(vm, ready_port), get_request("/readiness", "node")).status;
        } catch (const std::runtime_error&) {
            return 0;
        }
    }

    static std::chrono::microseconds plan_confirmed_age(int vm) {
        const auto state = call(vm_endpoint(vm, node_port + 1), get_request("/state", "node"));
        return std::chrono::microseconds{
            json::parse(state.body).at("plan").at("confirmed_age_us").get<std::int64_t>()};
    }

    bool wait_until_serving() {
        return becomes_true(10s, [] {
            return readiness_status(0) == 200 && readiness_status(1) == 200 &&
                   request_status(0, "/l/1") == 200 && request_status(1, "/l/1") == 200;
        });
    }

    void append_to_settings(int vm, const std::string& text) const {
        std::ofstream{file(vm), std::ios::app} << text;
    }

    void change_settings(int vm, const std::string& field, const std::string& value) const {
        auto settings = json::parse(std::ifstream{file(vm)});
        settings[field] = value;
        std::ofstream{file(vm)} << settings.dump();
    }

    [[nodiscard]] bool log_contains(int vm, const std::string& text) const {
        std::ifstream log{file(vm) + ".log"};
        return std::string{std::istreambuf_iterator<char>{log}, {}}.find(text) != std::string::npos;
    }

    /// @return the number of requests that each server executed, by VM.
    std::map<int, int> executions() {
        return with_store([this](auto&) { return m_executions; });
    }

    /// @return ids of the requests that the servers executed.
    std::set<std::string> executed_ids() {
        return with_store([this](auto&) { return m_executed_ids; });
    }

    /// Makes all servers add fields to their responses.
    void set_server_fields(const std::vector<std::pair<std::string, std::string>>& fields) {
        with_store([&](auto&) { m_server_fields = fields; });
    }

    /// Kills a sidecar and starts it again. The new process is the last element of `nodes`.
    void restart(int vm) {
        auto& node = nodes[static_cast<std::size_t>(vm)];
        node.send_signal(SIGKILL);
        node.wait(2s);
        nodes.emplace_back(std::vector<std::string>{CORNELPIER_SIDECAR, "--settings", file(vm)},
                           file(vm) + ".restarted.log");
    }

    std::vector<test::child_process> nodes;
    static inline int last_id = 0;

  private:
    [[nodiscard]] std::string file(int vm) const { return m_directory / ("node-" + std::to_string(vm)); }

    void serve(int vm, const std::shared_ptr<standins::http_exchange>& it) {
        const std::string instance = "i-" + std::to_string(vm);
        const auto& request = it->request();
        it->response_fields = {{"X-Instance-Id", instance}, {"X-Server-Load", "0,0,4,100"}};
        for (const auto& field : m_server_fields) {
            it->response_fields.push_back(field);
        }
        if (request.target() == "/health") {
            it->respond(200, "");
            return;
        }
        if (request["X-Expected-Instance"] != instance || request["X-Caller-Service"] != "status") {
            it->respond(421, "");
            return;
        }
        ++m_executions[vm];
        m_executed_ids.insert(std::string{request["X-Attempt-Id"]});
        it->response_fields.emplace_back("X-Attempt-Id", std::string{request["X-Attempt-Id"]});
        it->response_fields.emplace_back("X-Response-Seal", "s");
        const std::string target{request.target()};
        const auto work = target.starts_with(work_prefix)
                              ? std::chrono::milliseconds{std::stoi(target.substr(work_prefix.size()))}
                              : std::chrono::milliseconds{0};
        const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, work);
        timer->async_wait([it, target, timer](boost::system::error_code) { it->respond(200, target); });
    }

    void write_settings(int vm) const {
        const auto settings = test::sidecar_settings({.ip = vm_address(vm),
                                                      .vm = "vm-" + std::to_string(vm),
                                                      .data_centre = "z",
                                                      .service = "status",
                                                      .caller_address = vm_endpoint(vm, caller_port),
                                                      .readiness_address = vm_endpoint(vm, ready_port),
                                                      .node_address = vm_endpoint(vm, node_port),
                                                      .operator_address = vm_endpoint(vm, node_port + 1),
                                                      .server_address = vm_endpoint(vm, server_port),
                                                      .store_address = vm_endpoint(9, store_port),
                                                      .first_port = node_port,
                                                      .last_port = node_port + 1});
        std::ofstream{file(vm)} << settings.dump();
    }

    boost::asio::io_context m_context{1};
    standins::store_standin m_store;
    std::vector<std::unique_ptr<standins::http_service>> m_servers;
    std::vector<std::pair<std::string, std::string>> m_server_fields;
    std::map<int, int> m_executions;
    std::set<std::string> m_executed_ids;
    std::filesystem::path m_directory;
    std::thread m_thread;
};

} // namespace

TEST_CASE("sidecars route by the store and apply its changes", "[process][sidecar]") {
    sidecar_fleet fleet;
    REQUIRE(fleet.wait_until_serving());
    CHECK(sidecar_fleet::request_status(0, "/x/1") == 404);
    CHECK(sidecar_fleet::request_status(1, "/new/1") == 404);

    fleet.with_store([](auto& it) { it.put("op/config", manifest(4, true)); });
    CHECK(becomes_true(2s, [] {
        return sidecar_fleet::request_status(0, "/new/1") == 200 &&
               sidecar_fleet::request_status(1, "/new/1") == 200;
    }));
    // An older manifest and a truncated one are ignored.
    fleet.with_store([](auto& it) { it.put("op/config", manifest(2, false)); });
    fleet.with_store([](auto& it) { it.put("op/config", R"({"version":"r9")"); });
    std::this_thread::sleep_for(1500ms);
    CHECK(sidecar_fleet::request_status(0, "/new/1") == 200);

    // A draining server must receive no requests once the bound of 2 s has passed.
    fleet.with_store([](auto& it) { it.put("servers/i-0", server_entry(0, "draining")); });
    std::this_thread::sleep_for(2s);
    const int before = fleet.executions()[0];
    for (int n = 0; n < 20; ++n) {
        CHECK(sidecar_fleet::request_status(n % 2, "/l/1") == 200);
    }
    CHECK(fleet.executions()[0] == before);
}

TEST_CASE("sidecars keep serving during a store outage and elect a single reader", "[process][sidecar]") {
    sidecar_fleet fleet;
    REQUIRE(fleet.wait_until_serving());
    std::this_thread::sleep_for(2s);
    const auto before = fleet.with_store([](auto& it) { return it.request_count(); });
    std::this_thread::sleep_for(2s);
    // A read by the elected reader also confirms the plan for the other nodes.
    for (int vm = 0; vm < 2; ++vm) {
        CHECK(sidecar_fleet::plan_confirmed_age(vm) < 2s);
    }
    // A single reader polls the store once per second.
    const auto calls = fleet.with_store([](auto& it) { return it.request_count(); }) - before;
    CHECK(calls >= 1);
    CHECK(calls <= 5);

    fleet.with_store([](auto& it) { it.set_down(true); });
    std::this_thread::sleep_for(3s);
    CHECK(sidecar_fleet::request_status(0, "/l/1") == 200);
    CHECK(sidecar_fleet::request_status(1, "/l/1") == 200);
    fleet.with_store([](auto& it) {
        it.set_down(false);
        it.put("op/config", manifest(4, true));
    });
    CHECK(becomes_true(3s, [] {
        return sidecar_fleet::request_status(0, "/new/1") == 200 &&
               sidecar_fleet::request_status(1, "/new/1") == 200;
    }));
}

TEST_CASE("servers whose entries expired during an outage are rediscovered by all sidecars",
          "[process][sidecar]") {
    sidecar_fleet fleet;
    REQUIRE(fleet.wait_until_serving());
    fleet.with_store([](auto& it) {
        it.set_down(true);
        it.remove("servers/i-0");
        it.remove("servers/i-1");
    });
    std::this_thread::sleep_for(4s);
    fleet.with_store([](auto& it) { it.set_down(false); });
    // By then both have read that the entries are missing, and a single reader is elected again.
    std::this_thread::sleep_for(1500ms);
    fleet.with_store([](auto& it) {
        it.put("servers/i-0", server_entry(0, "ready"));
        it.put("servers/i-1", server_entry(1, "ready"));
    });
    std::this_thread::sleep_for(3s);
    for (int vm = 0; vm < 2; ++vm) {
        CHECK(sidecar_fleet::request_status(vm, "/l/1") == 200);
    }
}

TEST_CASE("servers get no more requests than they accept while the node beside one restarts",
          "[process][sidecar]") {
    sidecar_fleet fleet;
    REQUIRE(fleet.wait_until_serving());
    fleet.set_server_fields({{"Server-Limit", "2.5"}});
    std::this_thread::sleep_for(1s);
    auto before = fleet.executions();

    const auto start = std::chrono::steady_clock::now();
    int served = 0;
    for (int n = 0; std::chrono::steady_clock::now() - start < 4s; ++n) {
        served += sidecar_fleet::request_status(1, "/l/1") == 200 ? 1 : 0;
        if (n == 15) {
            fleet.restart(0);
        }
        std::this_thread::sleep_for(30ms);
    }
    auto after = fleet.executions();
    for (int vm = 0; vm < 2; ++vm) {
        // One and a half times the rate plus 5 requests in 4 s.
        CHECK(after[vm] - before[vm] <= 20);
    }
    CHECK(served >= 8);

    fleet.set_server_fields({});
    CHECK(becomes_true(5s, [] {
        int in_a_row = 0;
        while (in_a_row < 20 && sidecar_fleet::request_status(1, "/l/1") == 200) {
            ++in_a_row;
        }
        return in_a_row == 20;
    }));
}

TEST_CASE("a sidecar reports not ready on SIGTERM, serves callers for a while and exits",
          "[process][sidecar]") {
    sidecar_fleet fleet;
    REQUIRE(fleet.wait_until_serving());
    fleet.nodes[0].send_signal(SIGTERM);
    CHECK(becomes_true(500ms, [] { return sidecar_fleet::readiness_status(0) == 503; }));
    for (int n = 0; n < 10; ++n) {
        CHECK(sidecar_fleet::request_status(0, "/l/1") == 200);
        std::this_thread::sleep_for(200ms);
    }
    CHECK(fleet.nodes[0].wait(6s) == 0);
    CHECK(fleet.log_contains(0, R"("name":"stop_requested")"));
    CHECK(fleet.log_contains(0, R"("name":"process_ended","fields":{"cause":"done"})"));
    CHECK(sidecar_fleet::request_status(1, "/l/1") == 200);
}

namespace {

/// Lets a process run for a fifth of the time, as on a machine with a fifth of a core.
class slowed_process {
  public:
    explicit slowed_process(test::child_process& process)
        : m_process(process), m_thread([this] {
              while (!m_done) {
                  m_process.send_signal(SIGSTOP);
                  std::this_thread::sleep_for(80ms);
                  m_process.send_signal(SIGCONT);
                  std::this_thread::sleep_for(20ms);
              }
          }) {}

    ~slowed_process() {
        m_done = true;
        m_thread.join();
    }

    slowed_process(const slowed_process&) = delete;
    slowed_process& operator=(const slowed_process&) = delete;
    slowed_process(slowed_process&&) = delete;
    slowed_process& operator=(slowed_process&&) = delete;

  private:
    test::child_process& m_process;
    std::atomic<bool> m_done = false;
    std::thread m_thread;
};

/// An order on a connection that was opened before.
struct late_order {
    std::string id;
    std::chrono::milliseconds starts_after;
    std::chrono::milliseconds upload_time;
};

/// @return the first line of the response, empty if the connection ended without one.
std::string send_order(test::raw_connection& connection, const late_order& order, int work_ms,
                       std::chrono::steady_clock::time_point start) {
    const std::string head =
        "POST " + work_prefix + std::to_string(work_ms) +
        " HTTP/1.1\r\nHost: a.example\r\nContent-Length: 8\r\nX-Attempt-Id: " + order.id +
        "\r\nX-Deadline-Ms: 5000\r\n\r\n";
    std::this_thread::sleep_until(start + order.starts_after);
    try {
        connection.send(head + "half");
        std::this_thread::sleep_for(order.upload_time);
        connection.send("half");
        return connection.read_until("\r\n");
    } catch (const std::exception&) {
        return {};
    }
}

} // namespace

// Guards against requests that are passed on late in the grace of a planned stop and cut at its end.
TEST_CASE("orders that a starved sidecar takes during its stop are answered", "[process][sidecar]") {
    constexpr int work_ms = 2000;
    constexpr auto grace = 6s;
    sidecar_fleet fleet;
    REQUIRE(fleet.wait_until_serving());
    auto order_route = test::route_row("r-3", "a.example", work_prefix, "unsafe", "status");
    order_route[4] = "5s";
    const json rows =
        json::array({test::route_row("r-1", "a.example", "/l/", "safe", "status"), std::move(order_route)});
    fleet.with_store([&](auto& store) { store.put("op/config", test::manifest_json(4, rows, "status")); });
    REQUIRE(becomes_true(3s, [] { return sidecar_fleet::request_status(0, "/unknown") == 404; }));
    REQUIRE(becomes_true(3s, [] { return sidecar_fleet::request_status(0, work_prefix + "0") == 200; }));

    std::vector<late_order> orders;
    // With the upload that ends first, no more than the other server has slots, until the last moment at
    // which orders are taken.
    for (int n = 0; n < 3; ++n) {
        orders.push_back({"late-" + std::to_string(n), 1900ms + n * 300ms, 0ms});
    }
    for (const auto upload_time : {500ms, 1500ms, 3000ms, 3500ms}) {
        orders.push_back({"upload-" + std::to_string(upload_time.count()), 2000ms, upload_time});
    }
    std::vector<std::unique_ptr<test::raw_connection>> connections;
    for (std::size_t n = 0; n < orders.size(); ++n) {
        connections.push_back(std::make_unique<test::raw_connection>(vm_endpoint(0, caller_port)));
        // Kept connections have carried a request.
        connections.back()->send(get_request(
            "/l/1", "a.example", "X-Attempt-Id: first-" + std::to_string(n) + "\r\nX-Deadline-Ms: 1500\r\n"));
        REQUIRE(connections.back()->read_until("/l/1").ends_with("/l/1"));
    }

    std::vector<std::future<std::string>> answers;
    {
        const slowed_process slowed(fleet.nodes[0]);
        fleet.change_settings(0, "server_report_path", "/other");
        fleet.nodes[0].send_signal(SIGHUP);
        std::this_thread::sleep_for(200ms);
        const auto start = std::chrono::steady_clock::now();
        fleet.nodes[0].send_signal(SIGTERM);
        for (std::size_t n = 0; n < orders.size(); ++n) {
            answers.push_back(std::async(std::launch::async, [&, n] {
                return send_order(*connections[n], orders[n], work_ms, start);
            }));
        }
        for (auto& it : answers) {
            it.wait();
        }
        CHECK(std::chrono::steady_clock::now() - start < grace);
        CHECK(becomes_true(grace, [&] { return fleet.nodes[0].wait(0ms) == 0; }));
        CHECK(std::chrono::steady_clock::now() - start < grace);
    }
    const auto executed = fleet.executed_ids();
    std::size_t served = 0;
    for (std::size_t n = 0; n < orders.size(); ++n) {
        const std::string answer = answers[n].get();
        CAPTURE(orders[n].id, answer);
        if (executed.contains(orders[n].id)) {
            ++served;
            CHECK(answer.starts_with("HTTP/1.1 200 "));
        } else {
            CHECK((answer.empty() || answer.starts_with("HTTP/1.1 503 ")));
        }
    }
    CHECK(served > 0);
}

TEST_CASE("SIGHUP logs the changed settings without applying them", "[process][sidecar]") {
    sidecar_fleet fleet;
    REQUIRE(fleet.wait_until_serving());
    fleet.append_to_settings(0, "  ");
    fleet.nodes[0].send_signal(SIGHUP);
    CHECK(becomes_true(2s, [&] { return fleet.log_contains(0, R"("fields":{"changed":""})"); }));
    fleet.change_settings(0, "data_centre", "other");
    fleet.nodes[0].send_signal(SIGHUP);
    CHECK(becomes_true(2s, [&] { return fleet.log_contains(0, R"("fields":{"changed":"/data_centre"})"); }));
    fleet.append_to_settings(0, "}");
    fleet.nodes[0].send_signal(SIGHUP);
    CHECK(becomes_true(2s, [&] { return fleet.log_contains(0, "settings_invalid"); }));
    CHECK(sidecar_fleet::request_status(0, "/l/1") == 200);
    CHECK(sidecar_fleet::readiness_status(0) == 200);
}

} // namespace cornelpier
