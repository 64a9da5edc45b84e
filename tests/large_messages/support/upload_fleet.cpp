#include "tests/large_messages/support/upload_fleet.hpp"

#include "tests/process/support/becomes_true.hpp"
#include "tests/process/support/sidecar_documents.hpp"

#include <nlohmann/json.hpp>

#include <atomic>
#include <fstream>
#include <stdexcept>

namespace cornelpier::test {

namespace {

using nlohmann::json;

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
    : m_nodes("vault", make_manifest(max_body_bytes), {owner}),
      m_server(m_nodes.context(), sidecar_pair::server_address(owner), serve) {}

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
    return test::call(sidecar_pair::caller_address(entry), bytes);
}

std::string upload_fleet::fields() {
    static std::atomic<int> last_id = 0;
    return "X-Attempt-Id: " + std::to_string(++last_id) + "\r\nX-Deadline-Ms: 30000\r\n";
}

std::string upload_fleet::describe(const std::string& body) {
    return std::to_string(body.size()) + ' ' + std::to_string(std::hash<std::string>{}(body));
}

std::size_t upload_fleet::peak_resident_bytes(int vm) const {
    std::ifstream status("/proc/" + std::to_string(m_nodes.node(vm).pid()) + "/status");
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
    const auto page = test::call(sidecar_pair::operator_address(vm), get_request("/metrics", "node")).body;
    const auto start = page.find('\n' + name + ' ');
    if (start == std::string::npos) {
        return "";
    }
    const auto value = start + name.size() + 2;
    return page.substr(value, page.find('\n', value) - value);
}

} // namespace cornelpier::test
