#include "tests/process/support/becomes_true.hpp"
#include "tests/process/support/http_call.hpp"
#include "tests/untrusted_callers/support/caller_crowd.hpp"
#include "tests/untrusted_callers/support/limited_node.hpp"

#include <catch2/catch.hpp>

#include <string>

namespace cornelpier {

namespace {

using namespace std::chrono_literals;
using test::becomes_true;
using test::caller_crowd;
using test::limited_node;

constexpr std::size_t mib = std::size_t{1024} * 1024;

/// The target: a node stays within the memory limit of its settings, whatever its callers send.
constexpr int memory_limit_mb = 64;
constexpr std::size_t memory_bound = memory_limit_mb * mib;

/// After a crowd is gone, at most a quarter of the limit stays above what the node had before.
constexpr std::size_t remaining_bound = memory_bound / 4;

constexpr std::size_t crowd_size = 100;

/// Links, listeners, connections to the server and the log, in addition to the callers' connections.
constexpr std::size_t other_descriptors = 100;

/// Largest legal body; all bodies of a crowd together need 100 MiB.
constexpr std::size_t body_size = mib;

/// Where a body is sent: a route, a path without one, a host without a service, a readiness path.
struct destination {
    const char* path;
    const char* host;
};

std::string head(const destination& to, const std::string& framing) {
    return "POST " + std::string{to.path} + " HTTP/1.1\r\nHost: " + to.host + "\r\n" + framing + "\r\n\r\n";
}

std::string sized_head(const destination& to, std::size_t size) {
    return head(to, "Content-Length: " + std::to_string(size));
}

std::string whole_body(const destination& to) {
    return sized_head(to, body_size) + std::string(body_size, 'x');
}

std::string unfinished_body(const destination& to) {
    return sized_head(to, body_size) + std::string(body_size - 1, 'x');
}

std::string unfinished_chunks(const destination& to, std::size_t chunk_size, std::size_t total) {
    std::string result = head(to, "Transfer-Encoding: chunked");
    for (std::size_t sent = 0; sent < total; sent += chunk_size) {
        char size[16];
        std::snprintf(size, sizeof size, "%zx", chunk_size);
        result += std::string{size} + "\r\n" + std::string(chunk_size, 'x') + "\r\n";
    }
    return result;
}

std::string many_fields(std::size_t count, const std::string& end) {
    std::string result = "GET /lookup HTTP/1.1\r\nHost: comenzi\r\n";
    for (std::size_t n = 0; n < count; ++n) {
        result += "a:\r\n";
    }
    return result + end;
}

void check_with_crowd(limited_node& node) {
    CHECK(node.lives());
    CHECK(node.descriptors() <= crowd_size + other_descriptors);
    CHECK(node.peak_resident_bytes() <= memory_bound);
    CHECK_FALSE(node.log_contains("handler_failed"));
    CHECK(node.serves_lookup());
}

void check_after_crowd(limited_node& node, std::size_t resident_before) {
    CHECK(becomes_true(30s, [&] { return node.descriptors() <= other_descriptors; }));
    CHECK(becomes_true(30s, [&] { return node.resident_bytes() <= resident_before + remaining_bound; }));
    UNSCOPED_INFO("peak " << node.peak_resident_bytes() / mib << " MiB, now " << node.resident_bytes() / mib
                          << " MiB, before " << resident_before / mib << " MiB");
    CHECK(node.serves_lookup());
    CHECK(node.lives());
    CHECK(node.peak_resident_bytes() <= memory_bound);
}

void run_crowd(limited_node& node, const std::string& bytes, const test::crowd_behaviour& behaviour = {}) {
    const auto before = node.resident_bytes();
    {
        caller_crowd crowd{node.caller_address(), crowd_size};
        crowd.send(bytes, behaviour);
        check_with_crowd(node);
    }
    check_after_crowd(node, before);
}

} // namespace

// Guards against bodies that together need more memory than the node has, at any destination.
TEST_CASE("unfinished bodies of legal size stay within the memory limit", "[bodies]") {
    const auto to = GENERATE(destination{"/orders/1", "comenzi"}, destination{"/no-rule", "comenzi"},
                             destination{"/orders/1", "nowhere"}, destination{"/ready", "comenzi"});
    CAPTURE(to.path, to.host);
    limited_node node{memory_limit_mb};
    SECTION("in one piece") {
        run_crowd(node, unfinished_body(to));
    }
    SECTION("in small pieces") {
        run_crowd(node, unfinished_body(to), {.piece_bytes = 2000});
    }
    SECTION("in chunks") {
        run_crowd(node, unfinished_chunks(to, 4096, body_size - 4096));
    }
    SECTION("in chunks of one byte") {
        run_crowd(node, unfinished_chunks(to, 1, 600'000));
    }
}

// Guards against memory that complete bodies take in the node's other parts, and that stays taken.
TEST_CASE("whole bodies sent at once stay within the memory limit", "[bodies]") {
    const auto to = GENERATE(destination{"/orders/1", "comenzi"}, destination{"/ready", "comenzi"});
    CAPTURE(to.path, to.host);
    limited_node node{memory_limit_mb};
    run_crowd(node, whole_body(to));
}

// Guards against bodies that are stored before their length is known to be too large.
TEST_CASE("bodies far over the limit are not stored", "[bodies]") {
    limited_node node{memory_limit_mb};
    const destination to{"/orders/1", "comenzi"};
    SECTION("with a length") {
        run_crowd(node, sized_head(to, 100'000 * mib) + std::string(4 * mib, 'x'));
    }
    SECTION("in chunks") {
        run_crowd(node, unfinished_chunks(to, 64 * 1024, 8 * mib));
    }
}

// Guards against heads that need many times their size once they are parsed.
TEST_CASE("heads of very many short fields stay within the memory limit", "[heads]") {
    limited_node node{memory_limit_mb};
    SECTION("complete and pipelined") {
        std::string bytes;
        for (int n = 0; n < 200; ++n) {
            bytes += many_fields(4000, "\r\n");
        }
        run_crowd(node, bytes);
    }
    SECTION("unfinished") {
        run_crowd(node, many_fields(4000, ""));
    }
}

// Guards against responses and requests that pile up for a caller that reads nothing.
TEST_CASE("pipelined requests of callers that read nothing stay within the memory limit", "[pipelines]") {
    limited_node node{memory_limit_mb};
    std::string bytes;
    SECTION("lookups") {
        for (int n = 0; n < 20'000; ++n) {
            bytes += test::get_request("/lookup", "comenzi");
        }
    }
    SECTION("orders with bodies") {
        for (int n = 0; n < 20; ++n) {
            bytes += test::post_request("/orders/1", "comenzi", std::string(body_size / 2, 'x'));
        }
    }
    run_crowd(node, bytes);
}

// Guards against connections that are kept for callers that hardly make progress.
TEST_CASE("crowds that send or read slowly or stop half-way leave room for others", "[readers]") {
    limited_node node{memory_limit_mb};
    const destination to{"/orders/1", "comenzi"};
    SECTION("slow heads") {
        run_crowd(node, many_fields(100, "\r\n"),
                  {.piece_bytes = 3, .between_pieces = 20ms, .max_pieces = 100});
    }
    SECTION("bodies that continue slowly after most of them has arrived") {
        const auto before = node.resident_bytes();
        {
            caller_crowd crowd{node.caller_address(), crowd_size};
            crowd.send(unfinished_body(to).substr(0, body_size - 4096));
            crowd.send(std::string(4000, 'x'),
                       {.piece_bytes = 10, .between_pieces = 20ms, .max_pieces = 100});
            check_with_crowd(node);
        }
        check_after_crowd(node, before);
    }
    SECTION("lookups whose answers are read slowly") {
        std::string bytes;
        for (int n = 0; n < 2000; ++n) {
            bytes += test::get_request("/lookup", "comenzi");
        }
        run_crowd(node, bytes, {.piece_bytes = 200, .between_pieces = 5ms, .max_pieces = 300});
    }
}

// Guards against a crowd at the operators' port that keeps readiness probes and operators out.
TEST_CASE("a crowd at the operator port neither takes memory nor keeps operators out", "[operators]") {
    limited_node node{memory_limit_mb};
    const auto before = node.resident_bytes();
    const auto bytes =
        GENERATE(unfinished_body({"/state", "node"}), unfinished_chunks({"/state", "node"}, 4096, body_size),
                 many_fields(1900, ""), std::string{"GET /sta"});
    {
        caller_crowd crowd{node.operator_address(), crowd_size};
        crowd.send(bytes);
        check_with_crowd(node);
        CHECK(node.serves_operator());
    }
    check_after_crowd(node, before);
    CHECK(node.serves_operator());
}

namespace {

/// Private writable memory: the stacks of three threads, what the node has when nothing is going on, and the
/// memory limit. The bodies of a crowd need 100 MiB and do not fit into what is left.
constexpr std::size_t data_limit = 3 * 8 * mib + memory_bound;

} // namespace

// Guards against allocations that fail in the middle of other work.
TEST_CASE("a process of limited data size survives unfinished bodies", "[limited_data]") {
    limited_node node{memory_limit_mb, data_limit};
    SECTION("with a length") {
        run_crowd(node, unfinished_body({"/orders/1", "comenzi"}));
    }
    SECTION("in chunks") {
        run_crowd(node, unfinished_chunks({"/orders/1", "comenzi"}, 4096, body_size - 4096));
    }
    SECTION("of which only the first byte arrives") {
        run_crowd(node, sized_head({"/orders/1", "comenzi"}, body_size) + 'x');
    }
}

// Guards against whole bodies that fail in the middle of the decisions about them.
TEST_CASE("a process of limited data size survives whole bodies", "[limited_data]") {
    limited_node node{memory_limit_mb, data_limit};
    run_crowd(node, whole_body({"/orders/1", "comenzi"}));
}

} // namespace cornelpier
