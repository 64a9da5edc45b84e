#pragma once

#include "daemon/net/folded_line.hpp"

#include <boost/asio/error.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <cstddef>
#include <utility>

namespace cornelpier {

/// Largest chunk of a message that is read at once, in bytes.
inline constexpr std::size_t max_read_bytes = std::size_t{64} * 1024;

/// Reads from a stream until a parser has the whole head of a message.
///
/// The limit applies to the head as a whole. The parser's own limit does not hold in Beast 1.74: it starts
/// anew after a read that ends behind one or two bytes of a field, so that a peer that sends short fields
/// without end fills the memory. A head with a folded line is refused; see `has_folded_line`.
/// @tparam Stream has `async_read_some`.
/// @tparam Buffer dynamic buffer with a largest size, in one piece.
template <typename Stream, typename Buffer, typename Parser, typename Handler>
class head_reader {
  public:
    head_reader(Stream& stream, Buffer& buffer, Parser& parser, std::size_t limit, Handler handler)
        : m_stream(stream), m_buffer(buffer), m_parser(parser), m_remaining(limit),
          m_handler(std::move(handler)) {
        m_parser.eager(false);
    }

    /// Continues with the bytes in the buffer.
    void run() && {
        boost::system::error_code ec = boost::beast::http::error::need_more;
        if (m_buffer.size() > 0) {
            const std::size_t n = m_parser.put(m_buffer.data(), ec);
            // The parser takes complete lines only, a folded one together with its continuation.
            if (has_folded_line({static_cast<const char*>(m_buffer.data().data()), n})) {
                ec = boost::beast::http::error::bad_obs_fold;
            }
            m_buffer.consume(n);
            if (n > m_remaining) {
                ec = boost::beast::http::error::header_limit;
            }
            m_remaining -= std::min(n, m_remaining);
        }
        if (ec != boost::beast::http::error::need_more) {
            m_handler(ec);
            return;
        }
        const std::size_t n = boost::beast::read_size(m_buffer, max_read_bytes);
        if (n == 0) {
            m_handler(boost::beast::http::error::buffer_overflow);
            return;
        }
        auto& stream = m_stream;
        const auto space = m_buffer.prepare(n);
        stream.async_read_some(
            space, [self = std::move(*this)](boost::system::error_code failure, std::size_t count) mutable {
                std::move(self).on_read(failure, count);
            });
    }

  private:
    void on_read(boost::system::error_code ec, std::size_t count) && {
        if (!ec) {
            m_buffer.commit(count);
            std::move(*this).run();
            return;
        }
        if (ec == boost::asio::error::eof) {
            ec = m_parser.got_some() ? boost::beast::http::error::partial_message
                                     : boost::beast::http::error::end_of_stream;
        }
        m_handler(ec);
    }

    Stream& m_stream;
    Buffer& m_buffer;
    Parser& m_parser;
    std::size_t m_remaining; ///< Bytes that the head may still have.
    Handler m_handler;
};

/// Reads the head of a message; see `head_reader`. The objects must outlive the call of the handler.
/// @param limit largest size of the head, in bytes.
/// @param handler receives the error code, within this call if the buffer already has the head. Errors are
/// those of `http::async_read_header`, and `http::error::bad_obs_fold`.
template <typename Stream, typename Buffer, typename Parser, typename Handler>
void async_read_head(Stream& stream, Buffer& buffer, Parser& parser, std::size_t limit, Handler handler) {
    head_reader<Stream, Buffer, Parser, Handler>{stream, buffer, parser, limit, std::move(handler)}.run();
}

} // namespace cornelpier
