#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cornelpier::soak {

/// Request as a caller sent it or a server got it.
struct request_record {
    std::string id;
    bool idempotent = false; ///< Known to callers only.
    std::string target;      ///< Path and query.
    std::string body;
    std::chrono::milliseconds deadline{0};
};

/// Answer as a caller got it, or as a server gave it.
struct answer_record {
    int status = 0;
    std::string id;   ///< Echoed by the server.
    std::string seal; ///< Of the server; empty: an answer of a node.
    std::string body;
};

/// Checks the promises of the pages from what callers and servers saw. It knows nothing of the programs.
class invariant_checker {
  public:
    /// @param max_attempts servers that one request may reach.
    explicit invariant_checker(std::size_t max_attempts) : m_max_attempts(max_attempts) {}

    void on_request_sent(const request_record& sent);

    /// A server begins to work on a request.
    void on_execution(const request_record& seen);

    /// A server gives its answer.
    void on_server_response(const std::string& id, const answer_record& given);

    /// A caller has a complete answer.
    void on_caller_response(const std::string& id, const answer_record& got);

    /// A connection ended before the answer.
    /// @param excused whether a fault, or the caller itself, explains it.
    void on_connection_lost(const std::string& id, bool excused);

    /// A caller waited in vain until some time after the route's timeout.
    void on_timeout(const std::string& id, bool excused);

    /// A request that began to run at a server which had left for longer than the platform allows.
    void on_execution_after_drain(const std::string& id, std::chrono::milliseconds after);

    /// Notes a promise that was broken.
    void add_violation(const std::string& rule, const std::string& id, const std::string& text);

    /// Judges what can only be judged at the end.
    void finish();

    [[nodiscard]] const std::vector<std::string>& violations() const { return m_violations; }

    /// @return answers by status; 0: connections that ended without one.
    [[nodiscard]] const std::map<int, int>& answers() const { return m_answers; }

  private:
    struct entry {
        request_record sent;
        std::vector<answer_record> server_responses;
        std::size_t runs = 0;
        std::optional<int>
            refusal_status;  ///< Status by which a node promised that it has not run and never will.
        bool broken = false; ///< The connection ended with no excuse.
    };

    std::size_t m_max_attempts;
    std::map<std::string, entry> m_entries;
    std::vector<std::string> m_violations;
    std::map<int, int> m_answers;
};

} // namespace cornelpier::soak
