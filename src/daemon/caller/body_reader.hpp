#pragma once

#include "cornelpier/message/http_fields.hpp"

#include "daemon/memory/byte_reservation.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/optional.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace cornelpier {

/// Body of a request that allocates memory only for bytes that have arrived. Beast's own `string_body`
/// allocates the announced length when the first byte arrives.
struct arriving_body {
    using value_type = std::string;

    /// Appends the parsed bytes; the interface is Beast's BodyReader.
    class reader {
      public:
        template <bool IsRequest, typename Fields>
        reader(boost::beast::http::header<IsRequest, Fields>& /*head*/, value_type& body) : m_body(body) {}

        void init(const boost::optional<std::uint64_t>& /*length*/, boost::system::error_code& ec) {
            ec = {};
        }

        template <typename Buffers>
        std::size_t put(const Buffers& buffers, boost::system::error_code& ec) {
            ec = {};
            std::size_t total = 0;
            const auto end = boost::asio::buffer_sequence_end(buffers);
            for (auto it = boost::asio::buffer_sequence_begin(buffers); it != end; ++it) {
                const boost::asio::const_buffer part = *it;
                m_body.append(static_cast<const char*>(part.data()), part.size());
                total += part.size();
            }
            return total;
        }

        static void finish(boost::system::error_code& ec) { ec = {}; }

      private:
        value_type& m_body;
    };
};

/// Parser of a caller's request.
using caller_request_parser = boost::beast::http::request_parser<arriving_body>;

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
