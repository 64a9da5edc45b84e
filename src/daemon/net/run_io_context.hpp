#pragma once

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string_view>

namespace cornelpier {

/// Runs a context until it is stopped. An exception that leaves a handler ends that handler only: one message
/// or connection that nobody foresaw must not take the process and all others with it.
/// @param on_failure receives what the exception says.
void run_io_context(boost::asio::io_context& context,
                    const std::function<void(std::string_view)>& on_failure);

} // namespace cornelpier
