#include "daemon/net/hop_by_hop.hpp"

#include <algorithm>
#include <array>

namespace cornelpier {

namespace {

constexpr std::array<std::string_view, 6> hop_by_hop_fields{"connection", "keep-alive",        "te",
                                                            "trailer",    "transfer-encoding", "upgrade"};

std::string_view trimmed(std::string_view text) {
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

} // namespace

std::vector<std::string> list_elements(std::string_view value) {
    std::vector<std::string> result;
    while (!value.empty()) {
        const auto comma = std::min(value.find(','), value.size());
        const auto element = trimmed(value.substr(0, comma));
        if (!element.empty()) {
            result.push_back(to_lower_case(element));
        }
        value.remove_prefix(std::min(comma + 1, value.size()));
    }
    return result;
}

void remove_hop_by_hop(http_fields& fields) {
    std::vector<std::string> named;
    for (const auto& [name, value] : fields) {
        if (name == "connection") {
            std::ranges::move(list_elements(value), std::back_inserter(named));
        }
    }

    std::erase_if(fields, [&](const auto& field) {
        return std::ranges::find(hop_by_hop_fields, field.first) != hop_by_hop_fields.end() ||
               field.first.starts_with("proxy-") || std::ranges::find(named, field.first) != named.end();
    });
}

void remove_field(http_fields& fields, std::string_view name) {
    std::erase_if(fields, [&](const auto& field) { return field.first == name; });
}

} // namespace cornelpier
