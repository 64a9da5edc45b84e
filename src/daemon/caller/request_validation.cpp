#include "daemon/caller/request_validation.hpp"

#include "cornelpier/validation/request_syntax.hpp"

#include "daemon/net/hop_by_hop.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace cornelpier {

namespace {

/// Longer deadlines are rejected as malformed, because no plan allows them.
constexpr std::uint64_t max_deadline_ms = 24ULL * 3600 * 1000;
constexpr std::uint64_t max_depth = 1000;
constexpr std::size_t max_key_bytes = 255;

using optional_error = std::optional<request_error>;

optional_error bad_request(std::string reason) {
    return request_error{400, std::move(reason)};
}

std::size_t count(const http_fields& fields, std::string_view name) {
    return static_cast<std::size_t>(std::ranges::count(fields, name, &http_fields::value_type::first));
}

bool is_digits(std::string_view text) {
    return !text.empty() && std::ranges::all_of(text, [](char c) { return c >= '0' && c <= '9'; });
}

optional_error validate_framing(const http_fields& fields) {
    const auto lengths = count(fields, "content-length");
    const auto encodings = count(fields, "transfer-encoding");
    if (lengths > 1) {
        return bad_request("more than one Content-Length");
    }
    if (lengths == 1 && encodings > 0) {
        return bad_request("Content-Length together with Transfer-Encoding");
    }
    if (lengths == 1 && !is_digits(*find_field(fields, "content-length"))) {
        return bad_request("malformed Content-Length");
    }
    if (encodings > 1 ||
        (encodings == 1 && to_lower_case(*find_field(fields, "transfer-encoding")) != "chunked")) {
        return bad_request("Transfer-Encoding other than chunked");
    }
    return std::nullopt;
}

optional_error validate_target(std::string_view path) {
    if (path.empty() || path.front() != '/') {
        return bad_request("the request target is not in origin form");
    }
    return is_target_prefix(path) ? std::nullopt : bad_request("the request target has forbidden characters");
}

/// Removes a field from the request.
/// @param value set to the value of the field; unchanged if the field is missing.
/// @return false if the field occurs more than once.
bool extract_single(http_fields& fields, std::string_view name, std::optional<std::string>& value) {
    if (count(fields, name) > 1) {
        return false;
    }
    if (const auto* it = find_field(fields, name)) {
        value = *it;
    }
    remove_field(fields, name);
    return true;
}

bool parse_number(std::string_view text, std::uint64_t limit, std::uint64_t& value) {
    if (!is_digits(text)) {
        return false;
    }
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    return ec == std::errc{} && value <= limit;
}

optional_error read_host(http_fields& fields, validated_head& result) {
    std::optional<std::string> host;
    if (!extract_single(fields, "host", host)) {
        return bad_request("more than one Host");
    }
    if (!host || host->empty()) {
        return bad_request("missing Host");
    }

    const std::string_view name = std::string_view{*host}.substr(0, host->rfind(':'));
    const std::string label = to_lower_case(name.substr(0, name.find('.')));
    if (!is_host_label(label)) {
        return bad_request("malformed Host");
    }
    result.service = service_id{label};
    result.host = *std::move(host);
    return std::nullopt;
}

optional_error read_key(http_fields& fields, const std::string& name, std::optional<std::string>& key) {
    if (name.empty()) {
        return std::nullopt;
    }
    // The field is forwarded, because the server may use the key too.
    if (count(fields, name) > 1) {
        return bad_request("more than one Idempotency-Key");
    }
    const auto* value = find_field(fields, name);
    if (value == nullptr) {
        return std::nullopt;
    }
    if (value->empty() || value->size() > max_key_bytes) {
        return bad_request("Idempotency-Key must have 1 to 255 characters");
    }
    key = *value;
    return std::nullopt;
}

optional_error read_number(http_fields& fields, std::string_view name, std::uint64_t limit,
                           std::optional<std::uint64_t>& number) {
    if (name.empty()) {
        return std::nullopt;
    }
    std::optional<std::string> text;
    if (!extract_single(fields, name, text)) {
        return bad_request("more than one " + std::string{name});
    }
    if (!text) {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    if (!parse_number(*text, limit, value)) {
        return bad_request("malformed " + std::string{name});
    }
    number = value;
    return std::nullopt;
}

optional_error read_cornelpier_fields(http_fields& fields, const wire_names& names, validated_head& result) {
    std::optional<std::uint64_t> deadline_ms;
    std::optional<std::uint64_t> depth;
    std::optional<std::uint64_t> retry;
    if (auto it = read_number(fields, names.deadline, max_deadline_ms, deadline_ms)) {
        return it;
    }
    if (auto it = read_number(fields, names.depth, max_depth, depth)) {
        return it;
    }
    if (auto it = read_number(fields, names.retry, 1, retry)) {
        return it;
    }

    if (deadline_ms) {
        result.deadline = std::chrono::milliseconds{*deadline_ms};
    }
    result.depth = static_cast<std::uint32_t>(depth.value_or(0));
    result.outer_retry = retry.value_or(0) == 1;
    return std::nullopt;
}

optional_error read_expectation(http_fields& fields, bool& expects_continue) {
    std::optional<std::string> text;
    if (!extract_single(fields, "expect", text)) {
        return bad_request("more than one Expect");
    }
    if (!text) {
        return std::nullopt;
    }
    if (to_lower_case(*text) != "100-continue") {
        return request_error{417, "unknown expectation"};
    }
    expects_continue = true;
    return std::nullopt;
}

optional_error read_fields(http_fields& fields, const wire_names& names, validated_head& result) {
    if (auto it = read_host(fields, result)) {
        return it;
    }
    if (auto it = read_key(fields, names.key, result.key)) {
        return it;
    }
    if (auto it = read_cornelpier_fields(fields, names, result)) {
        return it;
    }
    return read_expectation(fields, result.expects_continue);
}

/// @return whether only nodes may set the field; values sent by callers are removed.
bool is_reserved(const std::string& field, const wire_names& names) {
    return field == names.origin_service || field == names.expected_instance;
}

void read_fate_token(const request_head& head, validated_head& result) {
    if (head.method == "GET" && head.target.starts_with(fate_path)) {
        result.fate_token = head.target.substr(fate_path.size());
    }
}

} // namespace

std::variant<validated_head, request_error> validate_request(request_head head, const wire_names& names,
                                                             const service_id& own_service) {
    if (auto it = validate_framing(head.fields)) {
        return *std::move(it);
    }
    if (auto it = validate_target(head.target)) {
        return *std::move(it);
    }

    validated_head result;
    if (auto it = read_fields(head.fields, names, result)) {
        return *std::move(it);
    }
    if (!names.token.empty()) {
        read_fate_token(head, result);
    }

    remove_hop_by_hop(head.fields);
    std::erase_if(head.fields, [&](const auto& field) {
        return field.first == "content-length" || field.first.starts_with(names.reserved_prefix) ||
               is_reserved(field.first, names);
    });
    if (names.preserve_host) {
        head.fields.emplace_back("host", result.host);
    }
    if (!names.origin_service.empty()) {
        head.fields.emplace_back(names.origin_service, own_service.value());
    }
    result.request.method = std::move(head.method);
    result.request.path = std::move(head.target);
    result.request.fields = std::move(head.fields);
    return result;
}

} // namespace cornelpier
