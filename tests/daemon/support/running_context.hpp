#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cornelpier::test {

/// An io_context that runs on two threads, like the traffic side of a node.
class running_context {
  public:
    running_context() {
        for (int n = 0; n < 2; ++n) {
            m_threads.emplace_back([this] { context.run(); });
        }
    }

    ~running_context() { stop(); }

    /// Stops and joins the threads; no handler runs afterwards.
    void stop() {
        context.stop();
        for (auto& it : m_threads) {
            if (it.joinable()) {
                it.join();
            }
        }
    }

    boost::asio::io_context context;

  private:
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work =
        boost::asio::make_work_guard(context);
    std::vector<std::thread> m_threads;
};

/// Thread-safe recorder of values that callbacks on other threads report.
template <typename Value>
class value_recorder {
  public:
    void push(Value value) {
        const std::lock_guard lock(m_mutex);
        m_values.push_back(std::move(value));
        m_changed.notify_all();
    }

    /// Waits until `count` values have been recorded.
    /// @return all values so far; fewer than `count` if `limit` has passed.
    std::vector<Value> wait(std::size_t count,
                            std::chrono::milliseconds limit = std::chrono::milliseconds{3000}) {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, limit, [&] { return m_values.size() >= count; });
        return m_values;
    }

  private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<Value> m_values;
};

/// @return `127.0.0.1:PORT` with a port that was free at the time of the call.
inline std::string free_address() {
    boost::asio::io_context context;
    const boost::asio::ip::tcp::acceptor acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

} // namespace cornelpier::test
