#include "daemon/net/run_io_context.hpp"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include <stdexcept>
#include <string>
#include <vector>

namespace cornelpier {

TEST_CASE("an exception that escapes a handler ends only that handler", "[net][field-reports]") {
    boost::asio::io_context context;
    std::vector<std::string> failures;
    int handled = 0;
    boost::asio::post(context, [&] { ++handled; });
    boost::asio::post(context, [] { throw std::out_of_range("no such entry"); });
    boost::asio::post(context, [] { throw std::bad_alloc{}; });
    boost::asio::post(context, [&] { ++handled; });
    run_io_context(context, [&](std::string_view reason) { failures.emplace_back(reason); });
    CHECK(handled == 2);
    REQUIRE(failures.size() == 2);
    CHECK(failures[0] == "no such entry");
}

} // namespace cornelpier
