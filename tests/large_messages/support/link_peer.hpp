#pragma once

#include "daemon/link/link_manager.hpp"
#include "tests/daemon/support/running_context.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <utility>

namespace cornelpier::test {

/// A link manager on loopback that records its callbacks.
class link_peer {
  public:
    link_peer() : address(free_address()), links(threads.context, make_handlers()) {
        REQUIRE(links.bind(address).reason.empty());
        links.start();
    }

    ~link_peer() { threads.stop(); }

    link_peer(const link_peer&) = delete;
    link_peer& operator=(const link_peer&) = delete;
    link_peer(link_peer&&) = delete;
    link_peer& operator=(link_peer&&) = delete;

    std::string address;
    value_recorder<link_id> opened;
    value_recorder<link_id> closed;
    value_recorder<std::pair<link_id, traffic_message>> received;
    value_recorder<event_record> records;
    value_recorder<link_id> progress;
    running_context threads;
    link_manager links;

  private:
    link_handlers make_handlers() {
        link_handlers result;
        result.on_opened = [this](link_id it) { opened.push(it); };
        result.on_closed = [this](link_id it) { closed.push(it); };
        result.on_traffic_message = [this](link_id link, traffic_message it) {
            received.push({link, std::move(it)});
        };
        result.on_control_message = [](control_message) {};
        result.record = [this](const event_record& it) { records.push(it); };
        result.on_progress = [this](link_id it) { progress.push(it); };
        return result;
    }
};

} // namespace cornelpier::test
