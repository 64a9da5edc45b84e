#pragma once

#include <boost/asio.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace review {

/// A request as the target got it.
struct target_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> fields; ///< Names in lower case.
    std::size_t body_bytes = 0;
};

class target_session;

/// What the target does with a request that it begins to run. May be called on any thread.
using target_behaviour = std::function<void(const std::shared_ptr<target_session>&, const target_request&)>;

/// Settings of a target.
struct target_options {
    std::string address;
    std::string instance;
    std::size_t slots = 12;
    std::size_t queue = 24;
};

/// Target beside a node: runs as many requests at once as it has slots, queues some and rejects the others.
/// Bodies are read and counted, not kept. A request whose connection closes is given up.
class target_standin {
  public:
    target_standin(boost::asio::io_context& context, target_options options, target_behaviour behaviour);

    /// Ends like a process that crashes: closes all connections at once and the listening socket a little
    /// later, and starts again after some time. To be called on the thread of the target.
    void crash(std::chrono::milliseconds listener_delay, std::chrono::milliseconds down_time);

    /// Fields that all answers have from now on, each line with its line end.
    void set_common_fields(const std::string& fields);
    [[nodiscard]] std::string common_fields() const;

    [[nodiscard]] const target_options& options() const { return m_options; }
    [[nodiscard]] std::size_t running() const { return m_running; }

  private:
    friend class target_session;
    void accept();
    void on_request(const std::shared_ptr<target_session>& session, target_request request);
    void on_ended(const std::shared_ptr<target_session>& session);
    void start_queued();
    void close_sessions();
    void stop_listening(std::chrono::milliseconds down_time);
    void listen_again();
    [[nodiscard]] std::string load() const;

    boost::asio::ip::tcp::acceptor m_acceptor;
    target_options m_options;
    target_behaviour m_behaviour;
    mutable std::mutex m_mutex;
    std::string m_common_fields;
    std::vector<std::weak_ptr<target_session>> m_sessions;
    boost::asio::steady_timer m_crash_timer;
    bool m_crashed = false;
    std::atomic<std::size_t> m_running = 0;
    std::vector<std::pair<std::shared_ptr<target_session>, target_request>> m_queue;
};

/// One connection to a target; serves one request at a time.
class target_session : public std::enable_shared_from_this<target_session> {
  public:
    target_session(boost::asio::ip::tcp::socket socket, target_standin& owner);

    void read_request();

    /// Keeps the connection open without reading.
    void hold();

    /// Answers after some time of work, unless the connection closes before.
    void answer_after(std::chrono::milliseconds work, int status, const std::string& body,
                      const std::string& fields = "");

    /// Calls a function after some time, unless the connection closes before.
    void after(std::chrono::milliseconds delay, std::function<void()> function);

    void answer(int status, const std::string& body, const std::string& fields = "");

    /// Sends bytes as they are; the next request is not read.
    void send_raw(std::string bytes, std::function<void()> on_sent);

    /// Ends the run; the next request is read.
    void end_run();

    /// The same, and closes the connection.
    void close();

    /// Called once if the peer closes the connection while a request runs.
    std::function<void()> on_given_up;

  private:
    friend class target_standin;
    void on_head(std::size_t size);
    void read_body(target_request request, std::size_t left);
    void watch_peer();

    boost::asio::ip::tcp::socket m_socket;
    target_standin& m_owner;
    boost::asio::steady_timer m_timer;
    std::string m_input;
    std::string m_output;
    std::string m_request_id;
    bool m_running = false;
    bool m_closed = false;
    unsigned m_exchange = 0;
};

} // namespace review
