#include "tests/process/support/http_call.hpp"

#include "tests/daemon/support/raw_connection.hpp"

#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <stdexcept>

namespace cornelpier::test {

namespace {

void parse_response_head(const std::string& head, http_response& answer) {
    std::istringstream lines(head);
    std::string line;
    std::getline(lines, line);
    answer.status = line.size() > 9 ? std::atoi(line.c_str() + 9) : 0;
    while (std::getline(lines, line) && line.size() > 1) {
        const auto colon = line.find(": ");
        if (colon == std::string::npos) {
            continue;
        }
        std::string name = line.substr(0, colon);
        std::ranges::transform(name, name.begin(), [](unsigned char c) { return std::tolower(c); });
        answer.fields[name] = line.substr(colon + 2, line.size() - colon - 3);
    }
}

} // namespace

class caller_connection::implementation {
  public:
    explicit implementation(const std::string& address) : connection(address) {}
    raw_connection connection;
};

caller_connection::caller_connection(const std::string& address) : m_impl(new implementation(address)) {}

caller_connection::~caller_connection() {
    delete m_impl;
}

http_response caller_connection::send(const std::string& bytes) {
    auto& connection = m_impl->connection;
    connection.send(bytes);
    const std::string head = connection.read_until("\r\n\r\n");
    http_response answer;
    if (!head.ends_with("\r\n\r\n")) {
        return answer;
    }

    parse_response_head(head, answer);
    const auto length = answer.fields.find("content-length");
    const auto size = length == answer.fields.end() ? 0 : std::stoul(length->second);
    answer.body = connection.read_bytes(size);
    if (answer.body.size() != size) {
        answer.status = 0;
    }
    return answer;
}

std::string get_request(const std::string& path, const std::string& host, const std::string& fields) {
    return "GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + fields + "\r\n";
}

std::string post_request(const std::string& path, const std::string& host, const std::string& body,
                         const std::string& fields) {
    return "POST " + path + " HTTP/1.1\r\nHost: " + host +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + fields + "\r\n" + body;
}

http_response call(const std::string& address, const std::string& bytes) {
    caller_connection connection(address);
    return connection.send(bytes);
}

} // namespace cornelpier::test
