#pragma once

#include "cornelpier/validation/response_status.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>

namespace cornelpier {

/// The parser takes the body after any transfer coding other than a last `chunked` for the plain one.
/// @param message whose head has been received.
/// @return whether the body is sent plain or in chunks, without another coding.
template <typename Message>
bool has_known_transfer_coding(const Message& message) {
    const auto [first, last] = message.equal_range(boost::beast::http::field::transfer_encoding);
    for (auto it = first; it != last; ++it) {
        if (!boost::beast::iequals(it->value(), "chunked")) {
            return false;
        }
    }
    return true;
}

/// @param message whose head has been received.
/// @return how the response is treated; invalid also if its body could not be read.
template <typename Message>
status_kind kind_of_response(const Message& message) {
    return has_known_transfer_coding(message) ? kind_of_status(static_cast<int>(message.result_int()))
                                              : status_kind::invalid;
}

} // namespace cornelpier
