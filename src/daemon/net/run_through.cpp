#include "daemon/net/run_through.hpp"

#include <exception>

namespace cornelpier {

void run_through(boost::asio::io_context& context, const std::function<void(std::string_view)>& on_failure) {
    while (true) {
        try {
            context.run();
            return;
        } catch (const std::exception& problem) {
            on_failure(problem.what());
        }
    }
}

} // namespace cornelpier
