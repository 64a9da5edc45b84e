#pragma once

#include "cornelpier/base/verdict.hpp"
#include "cornelpier/node/traffic_actions.hpp"

#include "daemon/wire/wire_names.hpp"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/span_body.hpp>

namespace cornelpier {

/// Serializes one HTTP response to a caller.
class response_writer {
  public:
    /// @param answer response, verdict and token to send.
    /// @param head_request the request was HEAD, so no body is sent.
    /// @param close the connection is closed after this response.
    /// @param names names of the header fields to send.
    response_writer(answer_caller answer, bool head_request, bool close, const wire_names& names = {});

    /// @return the serializer; it refers to this object.
    auto& serializer() noexcept { return m_serializer; }

    /// @return whether the connection is closed after this response.
    [[nodiscard]] bool closes_connection() const noexcept { return m_closes_connection; }

  private:
    using body_type = boost::beast::http::span_body<const char>;

    void set_fields(const answer_caller& answer, const wire_names& names);
    void set_body(bool head_request);

    shared_body m_body;
    bool m_closes_connection;
    boost::beast::http::response<body_type> m_message;
    boost::beast::http::response_serializer<body_type> m_serializer;
};

/// @return a response with verdict `not_run` and the reason as plain text, for requests that never reach the
/// decision core.
answer_caller make_refusal(int status, std::string_view reason);

} // namespace cornelpier
