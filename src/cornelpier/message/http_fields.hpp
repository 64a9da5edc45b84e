#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cornelpier {

/// Header fields in their original order, with names in lower case.
using http_fields = std::vector<std::pair<std::string, std::string>>;

/// @return the text with ASCII letters in lower case.
inline std::string to_lower_case(std::string_view text) {
    std::string result{text};
    for (char& c : result) {
        if (c >= 'A' && c <= 'Z') {
            c = static_cast<char>(c - 'A' + 'a');
        }
    }
    return result;
}

/// @param name in lower case.
/// @return the value of the first field of that name, or nullptr.
inline const std::string* find_field(const http_fields& fields, std::string_view name) {
    const auto it = std::ranges::find(fields, name, &http_fields::value_type::first);
    return it == fields.end() ? nullptr : &it->second;
}

/// Body that messages and actions share without copying. Not null where a body is expected.
using shared_body = std::shared_ptr<const std::string>;

inline shared_body make_body(std::string text = {}) {
    return std::make_shared<const std::string>(std::move(text));
}

/// HTTP request without hop-by-hop fields.
struct http_request {
    std::string method;
    std::string path; ///< In origin form, including the query.
    http_fields fields;
    shared_body body = make_body();
};

/// HTTP response without hop-by-hop fields and with a complete body.
struct http_response {
    int status = 0;
    http_fields fields;
    shared_body body = make_body();
};

} // namespace cornelpier
