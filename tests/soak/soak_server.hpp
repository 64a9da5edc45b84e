#pragma once

#include "tests/soak/deadly_tracker.hpp"
#include "tests/soak/invariant_checker.hpp"
#include "tests/standins/http_service.hpp"

#include <boost/asio.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace cornelpier::soak {

/// Server stand-in of a node with a few slots, a configurable speed and response faults.
class soak_server {
  public:
    /// @param address `IP:port` to listen on.
    soak_server(boost::asio::io_context& context, const std::string& address, invariant_checker& checker,
                std::uint32_t seed);

    /// ID of the current server instance.
    std::string instance;

    /// Shares of the responses that are dropped or truncated after the execution.
    double dropped_response_share = 0;
    double truncated_response_share = 0;

    /// Factor on the service time.
    double slowness = 1;

    /// Names a rate limit in all responses from now on, or none.
    void set_rate_limit(std::optional<double> requests_per_second);

    /// Marks the server as draining.
    /// @param limit time after which no request may reach it.
    void start_drain(std::chrono::steady_clock::time_point now, std::chrono::milliseconds limit);

    /// Starts a new instance, which is not draining.
    void restart_as(const std::string& name);

    /// Called when a deadly request has ended the server; the connections are to be reset and refused.
    std::function<void()> on_crash;

    /// Set by the fleet; not owned.
    deadly_tracker* deadly = nullptr;

    /// Returns whether no fault has been active since a time; see fault_tracker.
    std::function<bool(std::chrono::steady_clock::time_point)> fault_free_since;

  private:
    using exchange_ptr = std::shared_ptr<standins::http_exchange>;

    void on_request(const exchange_ptr& it);
    void run(const exchange_ptr& it);
    void finish(const exchange_ptr& it);
    void crash_later(const std::string& target);
    void check_drain(const std::string& id);
    void check_rate_limit(const std::string& id);
    void refuse(const exchange_ptr& it, int status);
    [[nodiscard]] std::string load() const;

    boost::asio::io_context& m_context;
    invariant_checker& m_checker;
    std::mt19937 m_random;
    int m_running = 0;
    std::optional<double> m_rate_limit;
    std::chrono::steady_clock::time_point m_limit_named_at;
    std::deque<std::chrono::steady_clock::time_point> m_arrivals; ///< While the limit has to hold.
    std::optional<std::chrono::steady_clock::time_point> m_drain_started_at;
    std::chrono::milliseconds m_drain_limit{0};
    standins::http_service m_service;
};

} // namespace cornelpier::soak
