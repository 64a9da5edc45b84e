#include "tests/daemon/support/stub_caller_server.hpp"

#include <catch2/catch.hpp>

#include <utility>
#include <variant>

namespace cornelpier::test {

namespace {

caller_options options_for(const std::string& address) {
    caller_options options;
    options.address = address;
    return options;
}

} // namespace

stub_caller_server::stub_caller_server()
    : address(free_address()),
      server(
          threads.context, options_for(address), [this](traffic_event it) { on_event(std::move(it)); },
          [](const event_record&) {}) {
    REQUIRE(server.bind().reason.empty());
    server.start();
}

void stub_caller_server::on_event(traffic_event event) {
    if (auto* call = std::get_if<call_arrived>(&event)) {
        answer_caller answer;
        answer.call = call->call;
        answer.response.status = 204;
        calls.push(std::move(*call));
        server.answer(std::move(answer));
    }
}

} // namespace cornelpier::test
