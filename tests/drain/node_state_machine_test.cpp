#include "cornelpier/drain/node_state_machine.hpp"

#include <catch2/catch.hpp>

namespace cornelpier {

TEST_CASE("a node passes through its states in order", "[drain]") {
    node_state_machine machine;
    CHECK(machine.state() == node_state::starting);
    machine.finish();
    CHECK(machine.state() == node_state::starting);
    machine.mark_ready();
    CHECK(machine.state() == node_state::serving);
    machine.add_cause(drain_cause::terminate);
    CHECK(machine.state() == node_state::draining);
    machine.remove_cause(drain_cause::terminate);
    CHECK(machine.state() == node_state::draining);
    machine.finish();
    CHECK(machine.state() == node_state::stopped);
    machine.mark_ready();
    CHECK(machine.state() == node_state::stopped);
}

TEST_CASE("a removed cause does not make a starting node serve", "[drain]") {
    node_state_machine machine;
    machine.add_cause(drain_cause::server_draining);
    machine.remove_cause(drain_cause::server_draining);
    CHECK(machine.state() == node_state::starting);
}

TEST_CASE("a node that is terminated before it serves can stop", "[drain]") {
    node_state_machine machine;
    machine.add_cause(drain_cause::terminate);
    CHECK(machine.state() == node_state::draining);
    machine.finish();
    CHECK(machine.state() == node_state::stopped);
}

} // namespace cornelpier
