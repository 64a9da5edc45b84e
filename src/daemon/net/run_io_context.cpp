#include "daemon/net/run_io_context.hpp"

#include <exception>

namespace cornelpier {

void run_io_context(boost::asio::io_context& context,
                    const std::function<void(std::string_view)>& on_failure) {
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
