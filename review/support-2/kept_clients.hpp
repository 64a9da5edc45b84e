#pragma once

#include "review/support-2/fleet.hpp"

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace review {

/// Requests of an ordinary client, sent one after the other on a connection that is kept.
struct kept_client_options {
    std::string method;
    std::string path;
    std::string body;
    std::chrono::milliseconds deadline{};
    std::chrono::milliseconds pause{300}; ///< Between two requests.
};

/// Checks the part of LOST that holds at any time: a request on a kept connection that was passed on to a
/// sound target gets an answer. Thread-safe.
class lost_check {
  public:
    /// The rule allows three such requests.
    static constexpr std::size_t allowed_cuts = 3;

    explicit lost_check(record& log) : m_log(log) {}

    /// A target begins to run a request.
    void add_run(const std::string& id, const std::string& target, bool sound);

    /// Sends requests until the time is over.
    void run_client(const fleet& nodes, std::size_t vm, const kept_client_options& options,
                    steady::time_point end);

    /// Writes what the clients got.
    /// @return the requests on kept connections that only sound targets have run, and whose connection was
    /// closed before the client's time was over.
    std::size_t write();

  private:
    void add_answer(int status);
    void add_cut(const std::string& id, const std::string& vm);
    bool send_next(client_connection& connection, bool is_kept, const std::string& vm,
                   const kept_client_options& options);

    struct cut_request {
        std::string id;
        std::string vm;
    };

    record& m_log;
    std::mutex m_mutex;
    std::set<std::string> m_sound_runs;
    std::set<std::string> m_other_runs;
    std::map<int, unsigned> m_answers;
    std::vector<cut_request> m_cuts;
};

} // namespace review
