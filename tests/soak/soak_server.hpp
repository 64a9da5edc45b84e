#pragma once

#include "tests/soak/invariant_checker.hpp"
#include "tests/standins/http_service.hpp"

#include <boost/asio.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace cornelpier::soak {

/// Server beside a node: a few slots, its own speed, and the faults that servers have.
class soak_server {
  public:
    /// @param address `IP:port` to listen on.
    soak_server(boost::asio::io_context& context, const std::string& address, invariant_checker& checker,
                std::uint32_t seed);

    /// Name of this life of the server.
    std::string instance;

    /// Share of the answers that are lost, or cut short, after the run.
    double dropped_response_share = 0;
    double truncated_response_share = 0;

    /// How much longer than usual work takes.
    double slowness = 1;

    /// Notes that the server leaves by plan.
    /// @param limit after which nothing may reach it any more.
    void start_drain(std::chrono::steady_clock::time_point now, std::chrono::milliseconds limit);

    /// Begins another life.
    void restart_as(const std::string& name);

    /// Whether no disturbance excuses what happens, since a time.
    std::function<bool(std::chrono::steady_clock::time_point)> fault_free_since;

  private:
    using exchange_ptr = std::shared_ptr<standins::http_exchange>;

    void on_request(const exchange_ptr& it);
    void run(const exchange_ptr& it);
    void finish(const exchange_ptr& it);
    void check_drain(const std::string& id);
    void refuse(const exchange_ptr& it, int status);
    [[nodiscard]] std::string load() const;

    boost::asio::io_context& m_context;
    invariant_checker& m_checker;
    std::mt19937 m_random;
    int m_running = 0;
    std::optional<std::chrono::steady_clock::time_point> m_drain_started_at;
    std::chrono::milliseconds m_drain_limit{0};
    standins::http_service m_service;
};

} // namespace cornelpier::soak
