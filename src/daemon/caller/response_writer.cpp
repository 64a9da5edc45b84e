#include "daemon/caller/response_writer.hpp"

#include "cornelpier/validation/response_status.hpp"

#include "daemon/net/hop_by_hop.hpp"

#include <boost/beast/core/string.hpp>

#include <utility>

namespace cornelpier {

namespace {

namespace http = boost::beast::http;

constexpr int no_content = 204;
constexpr int not_modified = 304;

int status_or_bad_gateway(int status) {
    constexpr int bad_gateway = 502;
    return kind_of_status(status) == status_kind::final ? status : bad_gateway;
}

bool has_no_body(int status) {
    return status == no_content || status == not_modified;
}

std::string whole_seconds(duration length) {
    return std::to_string(std::chrono::ceil<std::chrono::seconds>(length).count());
}

std::string fractional_seconds(duration length) {
    const auto ms = std::chrono::ceil<std::chrono::milliseconds>(length).count();
    constexpr int ms_per_second = 1000;
    constexpr std::size_t digits = 3;
    const std::string rest = std::to_string(ms % ms_per_second);
    return std::to_string(ms / ms_per_second) + '.' + std::string(digits - rest.size(), '0') + rest;
}

} // namespace

response_writer::response_writer(answer_caller answer, bool head_request, bool close, const wire_names& names)
    : m_body(answer.response.body), m_closes_connection(close || answer.close), m_serializer(m_message) {
    m_message.version(11);
    m_message.result(static_cast<unsigned>(status_or_bad_gateway(answer.response.status)));
    remove_hop_by_hop(answer.response.fields);
    set_fields(answer, names);
    set_body(head_request);
    m_message.keep_alive(!m_closes_connection);
}

void response_writer::set_fields(const answer_caller& answer, const wire_names& names) {
    for (const auto& [name, value] : answer.response.fields) {
        const bool replaced = boost::beast::iequals(name, names.verdict) ||
                              boost::beast::iequals(name, names.token) ||
                              (name == "retry-after" && answer.retry_after > duration::zero());
        if (!replaced) {
            m_message.insert(name, value);
        }
    }

    if (!names.verdict.empty()) {
        const auto text = to_string(answer.outcome);
        m_message.set(names.verdict, boost::beast::string_view{text.data(), text.size()});
    }
    if (!names.token.empty() && !answer.token.empty()) {
        m_message.set(names.token, answer.token);
    }
    if (answer.retry_after > duration::zero()) {
        m_message.set(http::field::retry_after, names.fractional_retry_after
                                                    ? fractional_seconds(answer.retry_after)
                                                    : whole_seconds(answer.retry_after));
    }
}

void response_writer::set_body(bool head_request) {
    if (has_no_body(static_cast<int>(m_message.result_int()))) {
        m_message.erase(http::field::content_length);
        return;
    }
    if (head_request) {
        // Only the server knows the length of the response to a GET, so its Content-Length is kept.
        if (m_message.count(http::field::content_length) == 0) {
            m_message.set(http::field::content_length, std::to_string(m_body->size()));
        }
        return;
    }
    m_message.body() = boost::beast::span<const char>{m_body->data(), m_body->size()};
    m_message.set(http::field::content_length, std::to_string(m_body->size()));
}

answer_caller make_refusal(int status, std::string_view reason) {
    answer_caller result;
    result.response.status = status;
    result.response.fields = {{"content-type", "text/plain"}};
    result.response.body = make_body(std::string{reason} + "\n");
    result.outcome = verdict::not_run;
    return result;
}

} // namespace cornelpier
