#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

/// Stand-ins of the store, the targets and the clients, and the start of the nodes, for the cases of the
/// review. All addresses are loopback addresses: one address per machine, the same ports on all of them.
namespace rig {

using namespace std::chrono_literals;
using std::string;
using clock = std::chrono::steady_clock;

inline std::int64_t now_ms() {
    static const auto start = clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - start).count();
}

/// The file `record.txt`: what was sent, answered and run.
class record_file {
  public:
    explicit record_file(const string& path) : m_file(path) {}

    void line(const string& text) {
        const std::lock_guard lock(m_mutex);
        m_file << now_ms() << " ms " << text << '\n';
    }

    /// Must be called before the process ends by `_exit`.
    void flush() {
        const std::lock_guard lock(m_mutex);
        m_file.flush();
    }

  private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

inline sockaddr_in address_of(const string& ip, int port) {
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &result.sin_addr);
    return result;
}

inline int listen_on(const string& ip, int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const auto address = address_of(ip, port);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || listen(fd, 512) != 0) {
        std::fprintf(stderr, "cannot listen on %s:%d: %s\n", ip.c_str(), port, std::strerror(errno));
        std::exit(2);
    }
    return fd;
}

/// @return a socket that connects to the address within a second, or -1.
inline int connect_to(const string& ip, int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = address_of(ip, port);
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    const int result = connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    if (result != 0) {
        pollfd wait{fd, POLLOUT, 0};
        int error = 0;
        socklen_t length = sizeof error;
        if (errno != EINPROGRESS || poll(&wait, 1, 1000) != 1 ||
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) {
            close(fd);
            return -1;
        }
    }
    fcntl(fd, F_SETFL, 0);
    return fd;
}

inline bool send_all(int fd, const string& bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
        const auto n = send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(n);
    }
    return true;
}

inline void reset(int fd) {
    const linger abort{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
    close(fd);
}

/// @return whether the peer has closed or reset the connection.
inline bool peer_closed(int fd) {
    char byte = 0;
    const auto n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

/// A request or a response.
struct message {
    string start;
    std::vector<std::pair<string, string>> fields; ///< Names in lower case.
    string body;
    bool framed = false; ///< A length or chunks delimit the body.

    [[nodiscard]] string field(const string& name) const {
        for (const auto& [key, value] : fields) {
            if (key == name) {
                return value;
            }
        }
        return {};
    }
    [[nodiscard]] string method() const { return start.substr(0, start.find(' ')); }
    [[nodiscard]] string path() const {
        const auto from = start.find(' ') + 1;
        return start.substr(from, start.find(' ', from) - from);
    }
    [[nodiscard]] int status() const { return start.size() < 12 ? 0 : std::atoi(start.c_str() + 9); }
};

/// Reads messages from a connection.
class reader {
  public:
    explicit reader(int fd) : m_fd(fd) {}

    /// Reads until the deadline.
    /// @return whether a whole message was read; `closed` tells whether the peer ended the connection.
    bool read(message& result, clock::time_point deadline, bool is_response) {
        result = {};
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == string::npos) {
            if (!more(deadline)) {
                return false;
            }
        }
        parse_head(result, m_buffer.substr(0, end));
        m_buffer.erase(0, end + 4);
        return read_body(result, deadline, is_response);
    }

    [[nodiscard]] bool closed() const { return m_closed; }
    [[nodiscard]] bool was_reset() const { return m_reset; }
    [[nodiscard]] bool has_bytes() const { return !m_buffer.empty(); }

    /// Waits for bytes until the deadline.
    bool more(clock::time_point deadline) {
        const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(deadline - clock::now()).count();
        pollfd wait{m_fd, POLLIN, 0};
        if (left < 0 || poll(&wait, 1, static_cast<int>(left)) != 1) {
            return false;
        }
        char bytes[65536];
        const auto n = recv(m_fd, bytes, sizeof bytes, 0);
        if (n <= 0) {
            m_closed = true;
            m_reset = n < 0;
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(n));
        return true;
    }

  private:
    static void parse_head(message& result, const string& head) {
        std::size_t at = head.find("\r\n");
        result.start = head.substr(0, at);
        while (at != string::npos) {
            const auto from = at + 2;
            at = head.find("\r\n", from);
            const auto line = head.substr(from, at == string::npos ? at : at - from);
            const auto colon = line.find(':');
            if (colon == string::npos) {
                continue;
            }
            string name = line.substr(0, colon);
            for (auto& c : name) {
                c = static_cast<char>(std::tolower(c));
            }
            const auto value = line.find_first_not_of(' ', colon + 1);
            result.fields.emplace_back(name, value == string::npos ? string{} : line.substr(value));
        }
    }

    bool read_body(message& result, clock::time_point deadline, bool is_response) {
        const string length = result.field("content-length");
        if (!length.empty()) {
            result.framed = true;
            const auto size = static_cast<std::size_t>(std::atoll(length.c_str()));
            while (m_buffer.size() < size) {
                if (!more(deadline)) {
                    result.body = m_buffer;
                    return false;
                }
            }
            result.body = m_buffer.substr(0, size);
            m_buffer.erase(0, size);
            return true;
        }
        if (result.field("transfer-encoding") == "chunked") {
            result.framed = true;
            return read_chunks(result, deadline);
        }
        if (!is_response) {
            result.framed = true;
            return true;
        }
        while (more(deadline)) {
        }
        result.body = std::exchange(m_buffer, {});
        return m_closed && !m_reset;
    }

    bool read_chunks(message& result, clock::time_point deadline) {
        while (true) {
            std::size_t end = 0;
            while ((end = m_buffer.find("\r\n")) == string::npos) {
                if (!more(deadline)) {
                    return false;
                }
            }
            const auto size = static_cast<std::size_t>(std::strtoull(m_buffer.c_str(), nullptr, 16));
            m_buffer.erase(0, end + 2);
            while (m_buffer.size() < size + 2) {
                if (!more(deadline)) {
                    return false;
                }
            }
            result.body += m_buffer.substr(0, size);
            m_buffer.erase(0, size + 2);
            if (size == 0) {
                return true;
            }
        }
    }

    int m_fd;
    string m_buffer;
    bool m_closed = false;
    bool m_reset = false;
};

/// Accepts connections and serves each on a thread of its own.
class listener {
  public:
    /// @param serve must close the descriptor.
    listener(const string& ip, int port, std::function<void(int)> serve)
        : m_fd(listen_on(ip, port)), m_serve(std::move(serve)) {
        std::thread([this] {
            while (true) {
                const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0) {
                    std::this_thread::sleep_for(10ms);
                    continue;
                }
                const int one = 1;
                setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
                std::thread([this, fd] { m_serve(fd); }).detach();
            }
        }).detach();
    }

  private:
    int m_fd;
    std::function<void(int)> m_serve;
};

inline string base64(const string& bytes) {
    static const char* const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    string result;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            group = group << 8U | (i + k < bytes.size() ? static_cast<std::uint8_t>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            result += i + k > bytes.size() ? '=' : digits[group >> (18 - 6 * k) & 63U];
        }
    }
    return result;
}

/// The platform's store: ranges and watches.
class store {
  public:
    /// @param ips an address for each machine, so that the store can refuse some and serve the others.
    store(const std::vector<string>& ips, int port) : m_fronts(ips.size()) {
        for (std::size_t i = 0; i < ips.size(); ++i) {
            m_listeners.push_back(
                std::make_unique<listener>(ips[i], port, [this, i](int fd) { serve(fd, m_fronts[i]); }));
        }
    }

    void put(const string& key, const string& value) {
        const std::lock_guard lock(m_mutex);
        m_items[key] = {value, ++m_revision, false};
        m_changed.notify_all();
    }

    void remove(const string& key) {
        const std::lock_guard lock(m_mutex);
        m_items[key] = {"", ++m_revision, true};
        m_changed.notify_all();
    }

    /// @param refused whether the calls of a machine get 503.
    void refuse(std::size_t machine, bool refused) { m_fronts[machine].refused = refused; }

    /// @return the number of calls of a machine so far.
    [[nodiscard]] int calls(std::size_t machine) const { return m_fronts[machine].calls; }

  private:
    struct front {
        std::atomic<bool> refused{false};
        std::atomic<int> calls{0};
    };

    struct item {
        string value;
        std::uint64_t revision = 0;
        bool deleted = false;
    };

    static string query(const string& path, const string& name) {
        const auto at = path.find(name + '=');
        if (at == string::npos) {
            return {};
        }
        const auto from = at + name.size() + 1;
        return path.substr(from, path.find('&', from) - from);
    }

    string items_after(std::uint64_t revision, bool with_deleted) const {
        string result;
        for (const auto& [key, it] : m_items) {
            if (it.revision <= revision || (it.deleted && !with_deleted)) {
                continue;
            }
            result += result.empty() ? "" : ",";
            result += R"({"key":")" + key + R"(","revision":)" + std::to_string(it.revision);
            result += it.deleted ? string{R"(,"deleted":true})"}
                                 : R"(,"created":1,"lease":0,"value":")" + base64(it.value) + "\"}";
        }
        return result;
    }

    string watch(std::uint64_t after, std::chrono::milliseconds wait) {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, wait, [&] { return m_revision > after; });
        return R"({"events":[)" + items_after(after, true) + R"(],"current_rev":)" +
               std::to_string(m_revision) + '}';
    }

    string list() {
        const std::lock_guard lock(m_mutex);
        return R"({"items":[)" + items_after(0, false) + R"(],"has_more":false,"current_rev":)" +
               std::to_string(m_revision) + '}';
    }

    void serve(int fd, front& from) {
        reader input(fd);
        message request;
        while (input.read(request, clock::now() + 60s, false)) {
            ++from.calls;
            string status = "200 OK";
            string body;
            if (from.refused) {
                status = "503 Service Unavailable";
                body = "{}";
            } else if (request.path().rfind("/kv-watch", 0) == 0) {
                body = watch(std::strtoull(query(request.path(), "after").c_str(), nullptr, 10),
                             std::chrono::milliseconds{std::atoi(query(request.path(), "wait_ms").c_str())});
            } else {
                body = list();
            }
            if (!send_all(fd, "HTTP/1.1 " + status +
                                  "\r\nStore-Era: 1\r\nContent-Type: application/json\r\n" +
                                  "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body)) {
                break;
            }
        }
        close(fd);
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<string, item> m_items;
    std::uint64_t m_revision = 1;
    std::vector<front> m_fronts;
    std::vector<std::unique_ptr<listener>> m_listeners;
};

/// The ports of every machine.
struct ports {
    int outbound = 0;
    int ready = 0;
    int target = 0;
    int node = 0; ///< The first of two for the node.
};

/// A machine: the address of a node and its target.
struct machine {
    string ip;
    string zone;
    string service;
    string instance;
};

/// A target. It answers the health path and passes other requests to the handler.
class target {
  public:
    using handler = std::function<void(target&, int fd, const message&)>;

    target(machine place, int port, handler on_request)
        : m_place(std::move(place)), m_handler(std::move(on_request)),
          m_listener(m_place.ip, port, [this](int fd) { serve(fd); }) {}

    [[nodiscard]] const machine& place() const { return m_place; }

    /// Sends a whole response with the fields of a target.
    bool respond(int fd, const message& request, int status, const string& body,
                 const string& fields = {}) const {
        return send_all(fd, head(request, status, fields) + "Content-Length: " + std::to_string(body.size()) +
                                "\r\n\r\n" + body);
    }

    /// @return the head of a response up to the fields that delimit the body.
    [[nodiscard]] string head(const message& request, int status, const string& fields = {}) const {
        return "HTTP/1.1 " + std::to_string(status) + " S\r\nX-Attempt-Id: " + request.field("x-attempt-id") +
               "\r\nX-Server-Load: " + std::to_string(running.load()) + ",0,12,100\r\n" + fields;
    }

    std::atomic<int> running{0};

  private:
    void serve(int fd) {
        reader input(fd);
        message request;
        while (input.read(request, clock::now() + 10s, false)) {
            if (request.path() == "/health") {
                send_all(fd, "HTTP/1.1 200 OK\r\nX-Instance-Id: " + m_place.instance + "\r\nX-Server-Load: " +
                                 std::to_string(running.load()) + ",0,12,100\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            const string expected = request.field("x-expected-instance");
            if (!expected.empty() && expected != m_place.instance) {
                respond(fd, request, 421, "",
                        "X-Not-Executed: 1\r\nX-Instance-Id: " + m_place.instance + "\r\n");
                continue;
            }
            m_handler(*this, fd, request);
        }
        close(fd);
    }

    machine m_place;
    handler m_handler;
    listener m_listener;
};

/// A node: the program of the deploy file, started with its settings as the deploy file says.
class node {
  public:
    node(const machine& place, const ports& all, const string& store_address, string directory)
        : m_place(place), m_ports(all), m_directory(std::move(directory)), m_store(store_address) {
        write_settings(place.service);
        start();
    }
    ~node() { kill_now(); }
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    void write_settings(const string& service) const {
        const auto at = [&](int port) { return m_place.ip + ':' + std::to_string(port); };
        const string& p = m_place.ip;
        std::ofstream file(settings_path());
        file
            << R"({"target":")" << p << R"(","vm":"side-)" << p << R"(","data_centre":")" << m_place.zone
            << R"(","service":")" << service << R"(","caller_address":")" << at(m_ports.outbound)
            << R"(","node_address":")" << at(m_ports.node) << R"(","operator_address":")"
            << at(m_ports.node + 1) << R"(","server_address":")" << at(m_ports.target)
            << R"(","configuration_address":")" << m_store << R"(","vm_list_address":")" << m_store
            << R"(","log":{"format":"json","level":"info"},"traffic_threads":1,"adapter":{"node":"side-)" << p
            << R"(","role":"node","machine_class":"sidecar","serves":["sidecar"],"ip":")" << p
            << R"(","zone":")" << m_place.zone
            << R"(","region":"r","zones":{"z-a":"r","z-b":"r","z-c":"r"},"listen":{"inbound":")"
            << at(m_ports.node + 2) << R"(","outbound":")" << at(m_ports.outbound) << R"(","ready":")"
            << at(m_ports.ready) << R"("},"port_range":[)" << m_ports.node << ',' << m_ports.node + 15
            << R"(],"seeds":[],"heartbeat":"1500ms","bounds":["seed_lag=3s","addr_reuse=2s","stable=3000ms",)"
            << R"("ack=4000ms","catch_up=4s","drain=2000ms","grace=6s","loss_slack=200ms","config_apply=2000ms",)"
            << R"("rollback_slack=250ms","max_stretch=5000ms","retry_budget_ratio=0.2","retry_window=10s",)"
            << R"("retry_slack=60","recovery=15s","probes_per_s=60"],"app_addr":")" << at(m_ports.target)
            << R"(","service":")" << service << R"(","platform":{"address":")" << m_store
            << R"(","form":"read","reads_per_s":2000,"history":"20s","value_bytes":1048576}}})";
    }

    void start() {
        const string log = settings_path() + ".log";
        string config = "CORNELPIER_CONFIG=" + settings_path();
        char program[] = "target/platform/cornelpier-sidecar";
        char path[] = "PATH=/usr/bin:/bin";
        char* arguments[] = {program, nullptr};
        char* environment[] = {config.data(), path, nullptr};
        m_pid = fork();
        if (m_pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            execve(program, arguments, environment);
            _exit(127);
        }
        if (m_pid < 0) {
            std::fprintf(stderr, "cannot start a node\n");
            std::exit(2);
        }
    }

    /// Does nothing if the process has ended: a process id of -1 would name all processes.
    void send_signal(int number) const {
        if (m_pid > 0) {
            kill(m_pid, number);
        }
    }

    /// @return whether the process has ended by itself.
    bool has_ended() {
        int status = 0;
        if (m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_pid = -1;
        }
        return m_pid < 0;
    }

    void kill_now() {
        if (m_pid > 0) {
            kill(m_pid, SIGKILL);
            waitpid(m_pid, nullptr, 0);
            m_pid = -1;
        }
    }

    [[nodiscard]] const machine& place() const { return m_place; }
    [[nodiscard]] int pid() const { return m_pid; }
    [[nodiscard]] string log_path() const { return settings_path() + ".log"; }

  private:
    [[nodiscard]] string settings_path() const { return m_directory + "/" + m_place.ip + ".json"; }

    machine m_place;
    ports m_ports;
    string m_directory;
    string m_store;
    pid_t m_pid = -1;
};

/// @return four free ports in a row of sixteen, on all the addresses of the rig.
inline ports free_ports(const std::vector<string>& ips) {
    for (int base = 21100 + getpid() % 300 * 20; base < 32000; base += 20) {
        bool free = true;
        for (const auto& ip : ips) {
            for (const int port : {base, base + 1, base + 2, base + 3, base + 4, base + 5}) {
                const int fd = socket(AF_INET, SOCK_STREAM, 0);
                const auto address = address_of(ip, port);
                free = free && bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
                close(fd);
            }
        }
        if (free) {
            return {base, base + 1, base + 2, base + 3};
        }
    }
    std::fprintf(stderr, "no free ports\n");
    std::exit(2);
}

/// One row of the manifest's routes.
struct route {
    string prefix;
    string kind;
    string service;
    string timeout = "5s";
    string objective = "1s";
    int max_attempts = 2;
};

inline string manifest(int version, const std::vector<route>& routes, const std::vector<string>& services) {
    string rows;
    for (const auto& it : routes) {
        rows += rows.empty() ? "" : ",";
        rows += R"(["r)" + it.prefix + R"(","a.example",")" + it.prefix + R"(",")" + it.kind + R"(",")" +
                it.timeout + R"(",")" + it.objective + R"(",1,")" + it.service + R"(",)" +
                std::to_string(it.max_attempts) + "]";
    }
    string names;
    for (const auto& it : services) {
        names += names.empty() ? "" : ",";
        names += R"([")" + it + R"(","/health",240])";
    }
    return R"({"version":"r)" + std::to_string(version) +
           R"(","routes":{"columns":["name","host","path_prefix","kind","timeout","objective","priority",)" +
           R"("service","max_attempts"],"rows":[)" + rows +
           R"(]},"services":{"columns":["name","health_path","max_connections"],"rows":[)" + names +
           R"(]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms",)" +
           R"("idle_timeout":"15000ms"}})";
}

inline string target_entry(const machine& place, int port, const string& state, int sequence) {
    return R"({"address":")" + place.ip + ':' + std::to_string(port) +
           R"(","born":1700000000000,"info":{"service":")" + place.service + R"(","zone":")" + place.zone +
           R"(","version":"v1","slots":12},"status":{"state":")" + state + R"(","sequence":)" +
           std::to_string(sequence) + R"(,"cold_left":"0ms"}})";
}

/// @return a request as a client sends it.
inline string request_text(const string& method, const string& path, const string& id, int deadline_ms,
                           const string& body = {}) {
    string text = method + ' ' + path + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id +
                  "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
    if (!body.empty() || method == "POST") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

/// What a client saw.
struct outcome {
    message response;
    bool whole = false;
    bool connected = false;
    bool closed = false;
    std::int64_t took_ms = 0;
};

/// Sends a request on a connection of its own.
inline outcome call(const string& ip, int port, const string& text, std::chrono::milliseconds patience) {
    outcome result;
    const auto start = clock::now();
    const int fd = connect_to(ip, port);
    if (fd < 0) {
        return result;
    }
    result.connected = true;
    send_all(fd, text);
    reader input(fd);
    result.whole = input.read(result.response, start + patience, true);
    result.closed = input.closed();
    result.took_ms = std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - start).count();
    close(fd);
    return result;
}

inline bool is_ready(const node& it, const ports& all) {
    const auto answer =
        call(it.place().ip, all.ready, "GET /readiness HTTP/1.1\r\nHost: node\r\n\r\n", 500ms);
    return answer.whole && answer.response.status() == 200;
}

inline string work_directory() {
    char name[] = "/tmp/review-XXXXXX";
    return mkdtemp(name);
}

} // namespace rig
