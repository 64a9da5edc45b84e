#include "tests/broken_responses/support/faulty_server.hpp"
#include "tests/broken_responses/support/malformed_heads.hpp"
#include "tests/daemon/support/invalid_statuses.hpp"
#include "tests/daemon/support/raw_connection.hpp"
#include "tests/process/support/becomes_true.hpp"
#include "tests/process/support/http_call.hpp"
#include "tests/process/support/sidecar_documents.hpp"
#include "tests/process/support/sidecar_pair.hpp"

#include <boost/asio/ip/address.hpp>
#include <catch2/catch.hpp>

#include <list>
#include <map>
#include <mutex>
#include <stdexcept>

namespace cornelpier {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using test::connection_end;
using test::faulty_response;

constexpr std::size_t kib = 1024;
constexpr std::size_t mib = 1024 * kib;

constexpr auto patience = 10s;
const std::string host = "a.example";

/// Bytes that stand in every broken response and must not reach a caller.
const std::string mark = "broken-part";

std::string make_manifest() {
    json rows = json::array({test::route_row("lookups", host, "/l/", "safe", "vault"),
                             test::route_row("orders", host, "/o/", "unsafe", "vault")});
    for (auto& row : rows) {
        row[4] = "10s"; // The timeout, for slow machines.
    }
    auto result = json::parse(test::manifest_json(3, rows, "vault"));
    result["limits"]["max_body_bytes"] = 64 * mib;
    return result.dump();
}

/// @return the value of a field with its name in lower case.
std::string field_value(const std::string& head, const std::string& name) {
    const auto start = head.find(name + ": ");
    if (start == std::string::npos) {
        return "";
    }
    const auto value = start + name.size() + 2;
    return head.substr(value, head.find("\r\n", value) - value);
}

boost::asio::ip::tcp::endpoint to_endpoint(const std::string& address) {
    const auto colon = address.find(':');
    return {boost::asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

/// Two nodes with a faulty server each. A request gets the faulty response the first time that it arrives at
/// a server, and a whole one after that.
class faulty_fleet {
  public:
    faulty_fleet() : m_nodes("vault", make_manifest(), {0, 1}) {
        for (const int vm : {0, 1}) {
            m_servers.emplace_back([this, vm](const std::string& head) { return respond(vm, head); },
                                   to_endpoint(test::sidecar_pair::server_address(vm)));
        }
        const bool is_serving =
            test::becomes_true(patience, [this] { return ask(whole_response("ready")).is_whole("ready"); });
        if (!is_serving) {
            throw std::runtime_error("the nodes did not start serving");
        }
    }

    /// The servers wait until the nodes have closed their connections.
    ~faulty_fleet() { m_nodes.stop(); }

    faulty_fleet(const faulty_fleet&) = delete;
    faulty_fleet& operator=(const faulty_fleet&) = delete;
    faulty_fleet(faulty_fleet&&) = delete;
    faulty_fleet& operator=(faulty_fleet&&) = delete;

    /// What a caller got, and how often the request ran.
    struct outcome {
        std::string bytes; ///< All that the node wrote.
        int runs = 0;

        [[nodiscard]] int status() const { return bytes.size() < 12 ? 0 : std::stoi(bytes.substr(9, 3)); }

        [[nodiscard]] bool is_whole(const std::string& body) const {
            return status() == 200 && bytes.ends_with("\r\n\r\n" + body) &&
                   bytes.find("x-response-seal: s\r\n") != std::string::npos &&
                   bytes.find("Content-Length: " + std::to_string(body.size())) != std::string::npos;
        }
    };

    /// @return a response with a length. `{id}` stands for the id of the request.
    static faulty_response whole_response(const std::string& body) {
        return {"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body,
                connection_end::keep_open};
    }

    /// Sends a request to a node and reads all that it writes.
    /// @param response of the first server that the request arrives at.
    /// @param size of the body.
    outcome ask(const faulty_response& response, const std::string& path = "/l/1", std::size_t size = 0) {
        const std::string id = std::to_string(++m_last_id);
        {
            const std::lock_guard lock(m_mutex);
            m_response = response;
        }
        outcome result;
        try {
            test::raw_connection connection(test::sidecar_pair::caller_address(0));
            connection.send("POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: " + id +
                            "\r\nX-Deadline-Ms: 10000\r\nConnection: close\r\nContent-Length: " +
                            std::to_string(size) + "\r\n\r\n" + std::string(size, 'a'));
            result.bytes = connection.read_all();
        } catch (const std::runtime_error&) {
            return result; // The node is not listening yet.
        }
        const std::lock_guard lock(m_mutex);
        result.runs = m_runs[id];
        return result;
    }

  private:
    faulty_response respond(int vm, const std::string& head) {
        if (head.starts_with("GET /health ")) {
            return {"HTTP/1.1 200 OK\r\nX-Instance-Id: i-" + std::to_string(vm) +
                        "\r\nX-Server-Load: 0,0,4,100\r\nContent-Length: 0\r\n\r\n",
                    connection_end::keep_open};
        }
        const std::string id = field_value(head, "x-attempt-id");
        const std::lock_guard lock(m_mutex);
        faulty_response response = ++m_runs[id] == 1 ? m_response : whole_response("repeat");
        if (const auto place = response.bytes.find("{id}"); place != std::string::npos) {
            response.bytes.replace(place, 4, id);
        }
        return response;
    }

    std::mutex m_mutex;
    faulty_response m_response;
    std::map<std::string, int> m_runs;
    int m_last_id = 0;
    test::sidecar_pair m_nodes;
    std::list<test::faulty_server> m_servers;
};

/// Checks that no byte of the response reaches a caller and that an order is neither run again nor said not
/// to have run.
/// @return whether a lookup was repeated, which nodes do unless the other server was ejected.
bool check_broken(faulty_fleet& fleet, const faulty_response& response, std::size_t size = 0) {
    const auto lookup = fleet.ask(response, "/l/1", size);
    const bool is_repeated = lookup.runs > 1;
    CHECK(lookup.runs <= 2);
    CHECK((is_repeated ? lookup.is_whole("repeat") : lookup.status() == 502));
    CHECK(lookup.bytes.find(mark) == std::string::npos);

    const auto order = fleet.ask(response, "/o/1", size);
    CHECK(order.runs == 1);
    CHECK(order.status() == 502);
    CHECK(order.bytes.find(mark) == std::string::npos);
    CHECK(order.bytes.find("x-response-seal") == std::string::npos);
    return is_repeated;
}

const std::string sealed_head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\n";

} // namespace

TEST_CASE("callers do not get a response that was reset during the upload",
          "[broken-responses][process][field-reports]") {
    faulty_fleet fleet;
    int repeats = 0;
    for (const std::size_t size : {64 * kib, 600 * kib, 4 * mib, 24 * mib}) {
        for (const auto end : {connection_end::reset, connection_end::close}) {
            INFO(size / kib << " KiB, end " << static_cast<int>(end));
            for (const std::size_t read : {std::size_t{0}, size / 2}) {
                repeats += check_broken(fleet, {sealed_head + "\r\n" + mark, end, read}, size) ? 1 : 0;
            }

            const auto early = faulty_fleet::whole_response("early").bytes;
            for (const std::string path : {"/l/1", "/o/1"}) {
                const auto whole = fleet.ask({early, end}, path, size);
                CHECK(whole.is_whole("early"));
                CHECK(whole.runs == 1);
            }
        }
    }
    CHECK(repeats > 0);
}

// Forms that were refused before any change; the test keeps it so.
TEST_CASE("callers do not get a response with an invalid status",
          "[broken-responses][process][field-reports]") {
    faulty_fleet fleet;
    for (const auto& status : test::invalid_statuses) {
        for (const std::string fields : {"", "X-Not-Executed: 1\r\n"}) {
            for (const auto& framing : test::all_framings(mark)) {
                for (const auto end :
                     {connection_end::keep_open, connection_end::close, connection_end::reset}) {
                    INFO(status << ", " << fields << framing.name << ", end " << static_cast<int>(end));
                    check_broken(fleet, {"HTTP/1.1 " + status + " Odd\r\nX-Attempt-Id: {id}\r\n" + fields +
                                             "X-Response-Seal: s\r\n" + framing.field + "\r\n" + framing.body,
                                         end});
                }
            }
        }
    }
}

TEST_CASE("callers do not get a response with a malformed line in its head",
          "[broken-responses][process][field-reports]") {
    faulty_fleet fleet;
    for (const auto& line : test::malformed_lines()) {
        for (const auto& framing : test::all_framings(mark)) {
            INFO(test::printable(line) << ", " << framing.name);
            check_broken(fleet,
                         {sealed_head + line + framing.field + "\r\n" + framing.body, connection_end::close});
        }
    }
}

} // namespace cornelpier
