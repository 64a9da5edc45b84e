#pragma once

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string_view>

namespace cornelpier {

/// Runs an io_context until it is stopped or out of work. An exception that escapes a handler ends only that
/// handler: a single unexpected message or connection must not end the process and all other connections.
/// @param on_failure receives the text of the exception.
void run_io_context(boost::asio::io_context& context,
                    const std::function<void(std::string_view)>& on_failure);

} // namespace cornelpier
