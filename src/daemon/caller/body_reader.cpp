#include "daemon/caller/body_reader.hpp"

#include <algorithm>
#include <utility>

namespace cornelpier {

namespace {

namespace http = boost::beast::http;

/// Largest amount of unparsed chunked framing: size lines, extensions and trailers.
constexpr std::size_t max_chunk_line_bytes = std::size_t{16} * 1024;

/// Growth of a body for whose next capacity the budget has no room.
constexpr std::size_t min_growth_bytes = std::size_t{64} * 1024;

/// Body together with the bytes of the budget that it holds.
struct counted_body {
    std::string text;
    byte_reservation reservation;
};

} // namespace

body_reader::body_reader(std::shared_ptr<byte_budget> budget, std::size_t limit)
    : m_reservation(std::move(budget), held_bytes::request_bodies), m_limit(limit) {}

body_progress body_reader::read(caller_request_parser& parser, boost::beast::flat_buffer& input,
                                std::string& reason) {
    while (!parser.is_done()) {
        if (input.size() == 0) {
            return body_progress::incomplete;
        }
        if (!reserve(parser.get().body(), input.size())) {
            return body_progress::no_room;
        }
        boost::system::error_code ec;
        input.consume(parser.put(input.data(), ec));
        if (ec == http::error::need_more && input.size() < max_chunk_line_bytes) {
            return body_progress::incomplete;
        }
        if (ec == http::error::body_limit) {
            return body_progress::too_large;
        }
        if (ec) {
            reason = ec.message();
            return body_progress::malformed;
        }
    }
    return body_progress::complete;
}

/// If the budget has no room for the next capacity, the body grows by what is needed and a little more.
bool body_reader::reserve(std::string& body, std::size_t more) {
    const std::size_t needed = std::min(body.size() + more, m_limit);
    if (needed <= body.capacity()) {
        return true;
    }
    const std::size_t grown = next_body_capacity(body.capacity(), needed, m_limit);
    const std::size_t modest = std::min(needed + min_growth_bytes, m_limit);
    if (!m_reservation.resize(grown) && !m_reservation.resize(modest)) {
        return false;
    }
    body.reserve(m_reservation.size());
    return true;
}

shared_body body_reader::take(caller_request_parser& parser) {
    const auto holder = std::make_shared<counted_body>(
        counted_body{std::move(parser.get().body()), std::move(m_reservation)});
    return {holder, &holder->text};
}

} // namespace cornelpier
