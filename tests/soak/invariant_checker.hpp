#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cornelpier::soak {

/// Request as sent by a caller or received by a server.
struct request_record {
    std::string id;
    bool idempotent = false; ///< Set by callers only.
    std::string target;      ///< Path and query.
    std::string body;
    std::chrono::milliseconds deadline{0};
};

/// Response as received by a caller or sent by a server.
struct answer_record {
    int status = 0;
    std::string id;   ///< Echoed by the server.
    std::string seal; ///< Set by servers; empty if a node produced the response.
    std::string body;
};

/// Checks the documented guarantees using only the observations of callers and servers, so that it depends on
/// no code of the node.
class invariant_checker {
  public:
    /// @param max_attempts largest number of executions of one request.
    explicit invariant_checker(std::size_t max_attempts) : m_max_attempts(max_attempts) {}

    void on_request_sent(const request_record& sent);

    /// A server started to execute a request.
    void on_execution(const request_record& seen);

    /// A server sent its response.
    void on_server_response(const std::string& id, const answer_record& given);

    /// A caller received a complete response.
    void on_caller_response(const std::string& id, const answer_record& got);

    /// A connection ended before the response was complete.
    /// @param excused whether a fault or the caller itself caused it.
    void on_connection_lost(const std::string& id, bool excused);

    /// A caller got no response within the timeout of the route plus a tolerance.
    void on_timeout(const std::string& id, bool excused);

    /// A server started to execute a request later after the start of its drain than the platform allows.
    void on_execution_after_drain(const std::string& id, std::chrono::milliseconds after);

    /// Records a violation.
    void add_violation(const std::string& rule, const std::string& id, const std::string& text);

    /// Runs the checks that need the observations of the whole run.
    void finish();

    [[nodiscard]] const std::vector<std::string>& violations() const { return m_violations; }

    /// @return the number of responses by status; 0 counts requests without a complete response.
    [[nodiscard]] const std::map<int, int>& answers() const { return m_answers; }

  private:
    struct entry {
        request_record sent;
        std::vector<answer_record> server_responses;
        std::size_t runs = 0;
        /// Status by which a node guaranteed that the request was not executed and never will be.
        std::optional<int> refusal_status;
        bool broken = false; ///< The connection ended and no fault explains it.
    };

    std::size_t m_max_attempts;
    std::map<std::string, entry> m_entries;
    std::vector<std::string> m_violations;
    std::map<int, int> m_answers;
};

} // namespace cornelpier::soak
