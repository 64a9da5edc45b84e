#pragma once

#include <sstream>
#include <string>
#include <vector>

namespace cornelpier::test {

/// Way in which a message marks the end of its body.
struct body_framing {
    std::string name;
    std::string field; ///< Line of the head, with its end; may be empty.
    std::string body;  ///< As it is sent.
};

/// @param body without framing.
/// @return the body with a length, in chunks, and up to the end of the connection.
inline std::vector<body_framing> all_framings(const std::string& body) {
    std::ostringstream chunk;
    chunk << std::hex << body.size() << "\r\n" << body << "\r\n0\r\n\r\n";
    return {{"length", "Content-Length: " + std::to_string(body.size()) + "\r\n", body},
            {"chunks", "Transfer-Encoding: chunked\r\n", chunk.str()},
            {"close", "", body}};
}

/// @return lines of a head, each with its end, that no valid head contains: the name of a field holds a blank
/// or a control byte, or the line is none. Some would change the framing if the fault were ignored.
inline std::vector<std::string> malformed_lines() {
    std::vector<std::string> lines{": b\r\n", "X-A\r\n", "X-A: b\nX-B: c\r\n", "X-A: b\rX-B: c\r\n"};
    for (const std::string field : {"X-A: b", "Content-Length: 3", "Transfer-Encoding: chunked"}) {
        const auto colon = field.find(':');
        for (const char byte : std::string("\0\x01\t\n\x0b\r\x1f \x7f", 9)) {
            for (const std::size_t position : {std::size_t{0}, std::size_t{3}, colon}) {
                lines.push_back(std::string{field}.insert(position, 1, byte) + "\r\n");
            }
        }
    }
    return lines;
}

/// @return the text with control bytes as numbers, for messages.
inline std::string printable(const std::string& text) {
    std::string result;
    for (const char c : text) {
        const bool is_control = c < ' ' || c == '\x7f';
        result += is_control ? '<' + std::to_string(static_cast<int>(c)) + '>' : std::string{c};
    }
    return result;
}

} // namespace cornelpier::test
