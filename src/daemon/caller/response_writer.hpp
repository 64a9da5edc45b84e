#pragma once

#include "cornelpier/base/verdict.hpp"
#include "cornelpier/node/traffic_actions.hpp"

#include "daemon/wire/wire_names.hpp"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/span_body.hpp>

namespace cornelpier {

/// One HTTP answer to a caller while it is being written.
class response_writer {
  public:
    /// @param answer what to send.
    /// @param head_request the request was HEAD, so no body is sent.
    /// @param close the connection ends after this answer.
    /// @param names of the fields to send.
    response_writer(answer_caller answer, bool head_request, bool close, const wire_names& names = {});

    /// @return the serializer; it refers to this object.
    auto& serializer() noexcept { return m_serializer; }

    /// @return whether the connection ends after this answer.
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

/// @return an answer of the shell itself, with verdict `not_run` and the reason as text.
answer_caller make_refusal(int status, std::string_view reason);

} // namespace cornelpier
