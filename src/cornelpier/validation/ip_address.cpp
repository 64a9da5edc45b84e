#include "cornelpier/validation/ip_address.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <cstdint>
#include <string>

namespace cornelpier {

namespace {

bool is_port(std::string_view text) {
    if (text.empty() || text.size() > 5 || text.front() == '0') {
        return false;
    }
    std::uint32_t port = 0;
    const auto [end, ec] = std::from_chars(text.begin(), text.end(), port);
    return ec == std::errc{} && end == text.end() && port <= 65535;
}

bool is_ip(std::string_view text, int family) {
    in6_addr buf{};
    return text.find('\0') == std::string_view::npos &&
           inet_pton(family, std::string{text}.c_str(), &buf) == 1;
}

} // namespace

bool is_ip_and_port(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || !is_port(text.substr(colon + 1))) {
        return false;
    }

    const auto host = text.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']')) {
        return is_ip(host.substr(1, host.size() - 2), AF_INET6);
    }
    return is_ip(host, AF_INET);
}

} // namespace cornelpier
