#include "tests/daemon/support/answering_server.hpp"
#include "tests/daemon/support/raw_connection.hpp"

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

/// Leaves the process as many descriptors as are given back one by one.
class used_up_descriptors {
  public:
    used_up_descriptors() {
        getrlimit(RLIMIT_NOFILE, &m_before);
        rlimit low = m_before;
        low.rlim_cur = std::min<rlim_t>(m_before.rlim_cur, most_descriptors);
        setrlimit(RLIMIT_NOFILE, &low);
        for (int fd = dup(STDERR_FILENO); fd >= 0; fd = dup(STDERR_FILENO)) {
            m_used.push_back(fd);
        }
    }

    ~used_up_descriptors() {
        give_back(m_used.size());
        setrlimit(RLIMIT_NOFILE, &m_before);
    }

    used_up_descriptors(const used_up_descriptors&) = delete;
    used_up_descriptors& operator=(const used_up_descriptors&) = delete;
    used_up_descriptors(used_up_descriptors&&) = delete;
    used_up_descriptors& operator=(used_up_descriptors&&) = delete;

    void give_back(std::size_t count) {
        for (; count > 0 && !m_used.empty(); --count) {
            close(m_used.back());
            m_used.pop_back();
        }
    }

  private:
    /// Enough for the test itself, and few enough to be used up at once.
    static constexpr rlim_t most_descriptors = 256;

    rlimit m_before{};
    std::vector<int> m_used;
};

} // namespace

TEST_CASE("a caller that comes while no descriptor is left is served once there is one",
          "[caller][field-reports]") {
    test::answering_server it;
    test::raw_connection before(it.address);
    const std::string request = "GET / HTTP/1.1\r\nHost: comenzi\r\n\r\n";
    before.send(request);
    REQUIRE(before.read_until("\r\n\r\n").starts_with("HTTP/1.1 204"));

    used_up_descriptors descriptors;
    descriptors.give_back(1);
    test::raw_connection caller(it.address);
    caller.send(request);
    std::this_thread::sleep_for(300ms);
    // Who has a connection already is served meanwhile.
    before.send(request);
    CHECK(before.read_until("\r\n\r\n").starts_with("HTTP/1.1 204"));
    CHECK(it.server.connections() == 1);

    descriptors.give_back(10);
    CHECK(caller.read_until("\r\n\r\n").starts_with("HTTP/1.1 204"));
}

} // namespace cornelpier
