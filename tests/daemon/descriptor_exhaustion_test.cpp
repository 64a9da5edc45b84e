#include "tests/daemon/support/raw_connection.hpp"
#include "tests/daemon/support/stub_caller_server.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace cornelpier {

namespace {

using namespace std::chrono_literals;

/// Occupies all file descriptors of the process until they are released one by one.
class descriptor_exhaustion {
  public:
    descriptor_exhaustion() {
        getrlimit(RLIMIT_NOFILE, &m_previous_limit);
        rlimit reduced = m_previous_limit;
        reduced.rlim_cur = std::min<rlim_t>(m_previous_limit.rlim_cur, max_descriptors);
        setrlimit(RLIMIT_NOFILE, &reduced);
        for (int fd = dup(STDERR_FILENO); fd >= 0; fd = dup(STDERR_FILENO)) {
            m_occupied.push_back(fd);
        }
    }

    ~descriptor_exhaustion() {
        release(m_occupied.size());
        setrlimit(RLIMIT_NOFILE, &m_previous_limit);
    }

    descriptor_exhaustion(const descriptor_exhaustion&) = delete;
    descriptor_exhaustion& operator=(const descriptor_exhaustion&) = delete;
    descriptor_exhaustion(descriptor_exhaustion&&) = delete;
    descriptor_exhaustion& operator=(descriptor_exhaustion&&) = delete;

    void release(std::size_t count) {
        for (; count > 0 && !m_occupied.empty(); --count) {
            close(m_occupied.back());
            m_occupied.pop_back();
        }
    }

  private:
    /// Enough for the test itself, and few enough to be exhausted quickly.
    static constexpr rlim_t max_descriptors = 256;

    rlimit m_previous_limit{};
    std::vector<int> m_occupied;
};

} // namespace

TEST_CASE("a caller that connects while no descriptor is free is served once one is released",
          "[caller][field-reports]") {
    test::stub_caller_server it;
    test::raw_connection established(it.address);
    const std::string request = "GET / HTTP/1.1\r\nHost: comenzi\r\n\r\n";
    established.send(request);
    REQUIRE(established.read_until("\r\n\r\n").starts_with("HTTP/1.1 204"));

    descriptor_exhaustion descriptors;
    descriptors.release(1);
    test::raw_connection caller(it.address);
    caller.send(request);
    std::this_thread::sleep_for(300ms);
    // Established connections are served meanwhile.
    established.send(request);
    CHECK(established.read_until("\r\n\r\n").starts_with("HTTP/1.1 204"));
    CHECK(it.server.connections() == 1);

    descriptors.release(10);
    CHECK(caller.read_until("\r\n\r\n").starts_with("HTTP/1.1 204"));
}

} // namespace cornelpier
