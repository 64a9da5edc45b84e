#pragma once

#include "cornelpier/message/http_fields.hpp"

#include "daemon/memory/byte_reservation.hpp"
#include "daemon/net/incremental_body.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace cornelpier {

/// Parser of a caller's request.
using caller_request_parser = boost::beast::http::request_parser<incremental_body>;

/// Result of `body_reader::read`.
enum class body_progress : std::uint8_t { complete, incomplete, too_large, malformed, no_room };

/// Reads the body of one request into memory that is reserved beforehand.
class body_reader {
  public:
    /// @param budget may be null: unlimited.
    /// @param limit length of the body, or the limit of the parser if the length is not known.
    body_reader(std::shared_ptr<byte_budget> budget, std::size_t limit);

    /// Moves bytes from the input to the body.
    /// @param reason receives the error text for `malformed`.
    body_progress read(caller_request_parser& parser, boost::beast::flat_buffer& input, std::string& reason);

    /// @return the complete body, which keeps its reservation until it is deleted.
    [[nodiscard]] shared_body take(caller_request_parser& parser);

  private:
    bool reserve(std::string& body, std::size_t more);

    byte_reservation m_reservation;
    std::size_t m_limit;
};

} // namespace cornelpier
