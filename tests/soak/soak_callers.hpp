#pragma once

#include "tests/soak/fault_tracker.hpp"
#include "tests/soak/invariant_checker.hpp"

#include <boost/asio.hpp>
#include <boost/asio/spawn.hpp>

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace cornelpier::soak {

/// Callers that send requests on keep-alive connections until the node closes them. Some requests are
/// abandoned before the response.
class soak_callers {
  public:
    soak_callers(boost::asio::io_context& context, invariant_checker& checker, const fault_tracker& faults,
                 std::uint32_t seed);

    /// Starts callers, each on its own connection.
    /// @param address `IP:port` on which a node accepts callers.
    void start(const std::string& address, int connections);

    /// Stops sending requests.
    void stop() { m_stopped = true; }

    /// Sends a request on a route that only this version of the plan contains.
    void check_plan(const std::string& address, int version,
                    std::chrono::steady_clock::time_point changed_at);

    /// Sends requests of the same content to one node after the other.
    void send_repeatedly(std::vector<std::string> addresses, std::string target, int count,
                         std::chrono::milliseconds interval);

    /// @return the number of requests answered with status 200 by node address since the last call.
    [[nodiscard]] std::map<std::string, int> take_served() { return std::exchange(m_served, {}); }

  private:
    class connection;

    void run_caller(const std::string& address, boost::asio::yield_context yield);
    bool send_request(connection& it, const std::string& address, const request_record& request,
                      boost::asio::yield_context yield);
    void request_plan_route(const std::string& address, int version,
                            std::chrono::steady_clock::time_point changed_at,
                            boost::asio::yield_context yield);
    void sleep(std::chrono::milliseconds time, boost::asio::yield_context yield);
    request_record next_request();
    int random_between(int minimum, int maximum) {
        return std::uniform_int_distribution{minimum, maximum}(m_random);
    }

    boost::asio::io_context& m_context;
    invariant_checker& m_checker;
    const fault_tracker& m_faults;
    std::mt19937 m_random;
    std::uint64_t m_last_id = 0;
    std::map<std::string, int> m_served;
    bool m_stopped = false;
};

} // namespace cornelpier::soak
