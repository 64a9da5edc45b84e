#pragma once

#include <string>
#include <vector>

namespace cornelpier::test {

/// Statuses that no valid response has, as faulty servers write them.
inline const std::vector<std::string> invalid_statuses{"000", "099", "600", "999", "20", "2000", "2O0"};

/// Ways in which a faulty server sends a response with an invalid status.
struct invalid_response {
    std::string name;
    std::string bytes;
};

/// @param status text in place of the status.
/// @param valid_response complete response that would be accepted in its place.
/// @return responses with the status: a complete one, one whose body never arrives, and one that is followed
/// by the valid response, which must not be taken for the final response after an interim one.
inline std::vector<invalid_response> make_invalid_responses(const std::string& status,
                                                            const std::string& valid_response) {
    const std::string status_line = "HTTP/1.1 " + status + " Odd\r\n";
    const std::string complete = status_line + valid_response.substr(valid_response.find("\r\n") + 2);
    return {{status + " complete", complete},
            {status + " without its body", status_line + "Content-Length: 9\r\n\r\n"},
            {status + " before a valid response", status_line + "\r\n" + valid_response},
            {status + " with length before a valid response", complete + valid_response}};
}

} // namespace cornelpier::test
