#include "cornelpier/membership/gossip_composer.hpp"
#include "cornelpier/membership/member_manager.hpp"
#include "cornelpier/message/codec.hpp"

#include <catch2/catch.hpp>

namespace cornelpier {

namespace {

using std::chrono::seconds;

constexpr time_point start{seconds{100'000}};

node_identity identity() {
    return {target_id{"own"}, incarnation{1}, vm_id{"vm"}, data_centre_id{"dc"}, service_id{}, {}};
}

member_record record_of(const std::string& id, std::uint64_t process, duration age,
                        node_state state = node_state::serving) {
    return {target_id{id}, incarnation{process}, state, age, vm_state::unlisted, unknown_age};
}

} // namespace

TEST_CASE("an older record never replaces a newer one, whatever its incarnation", "[membership]") {
    member_manager members{identity(), start};
    members.apply_relayed_record(record_of("a", 7, seconds{5}), start);
    members.apply_relayed_record(record_of("a", 7, seconds{6}, node_state::draining), start);
    members.apply_relayed_record(record_of("a", 8, seconds{6}), start);
    CHECK(members.find(target_id{"a"})->state == node_state::serving);
    CHECK(members.find(target_id{"a"})->process == incarnation{7});

    const auto later = start + seconds{10};
    CHECK(members.find(target_id{"a"})->age(later) == seconds{15});
    members.apply_relayed_record(record_of("a", 8, seconds{14}), later);
    CHECK(members.find(target_id{"a"})->process == incarnation{8});
}

TEST_CASE("a new incarnation in a direct record replaces the old one, whose late messages are ignored",
          "[membership]") {
    member_manager members{identity(), start};
    members.apply_direct_record(record_of("a", 7, {}), start);
    members.apply_direct_record(record_of("a", 8, {}), start);
    members.apply_direct_record(record_of("a", 7, {}), start);
    members.apply_relayed_record(record_of("a", 7, -seconds{1}), start + seconds{1});
    CHECK(members.find(target_id{"a"})->process == incarnation{8});
}

TEST_CASE("a record of the own node is not taken from others", "[membership]") {
    member_manager members{identity(), start};
    members.apply_relayed_record(record_of("own", 9, {}, node_state::stopped), start);
    CHECK(members.find(target_id{"own"})->process == incarnation{1});
    CHECK(members.find(target_id{"own"})->state == node_state::starting);
}

TEST_CASE("a state of the VM that a target left does not apply to its new VM", "[membership]") {
    plan current;
    current.services.push_back({});
    current.services[0].targets = {{target_id{"a"}, vm_id{"vm-1"}, data_centre_id{"dc"}, "10.0.0.1:1"}};
    member_manager members{identity(), start};
    members.apply_plan(current, start);
    current.services[0].targets[0].vm = vm_id{"vm-2"};
    members.apply_plan(current, start + seconds{10});

    auto old = record_of("a", 7, seconds{1});
    old.vm = vm_state::leaving;
    old.vm_age = seconds{2};
    members.apply_relayed_record(old, start + seconds{11});
    CHECK(members.find(target_id{"a"})->observed_vm_state == vm_state::unlisted);

    members.apply_vm_list({{vm_id{"vm-2"}, vm_state::leaving}}, start + seconds{11});
    CHECK(members.find(target_id{"a"})->observed_vm_state == vm_state::leaving);
}

// Guards against a burst of datagrams: if the first VM list reported every VM as changed, its reader would
// notify every node at once.
TEST_CASE("only VMs that begin or cease to leave are reported as changed", "[membership]") {
    member_manager members{identity(), start};
    plan current;
    current.services.push_back({});
    current.services[0].targets = {{target_id{"a"}, vm_id{"vm-a"}, data_centre_id{"dc"}, "10.0.0.1:1"},
                                   {target_id{"b"}, vm_id{"vm-b"}, data_centre_id{"dc"}, "10.0.0.2:1"}};
    members.apply_plan(current, start);
    const vm_id leaving{"vm-a"};
    const vm_id live{"vm-b"};
    CHECK(members.apply_vm_list({{leaving, vm_state::live}, {live, vm_state::live}}, start).empty());
    const auto began = members.apply_vm_list({{leaving, vm_state::leaving}, {live, vm_state::live}}, start);
    CHECK(began == std::vector{target_id{"a"}});
    CHECK(members.apply_vm_list({{leaving, vm_state::live}, {live, vm_state::live}}, start) == began);
}

TEST_CASE("a gossip message of many long names stays within a datagram", "[membership]") {
    member_manager members{identity(), start};
    for (std::uint64_t n = 0; n < 200; ++n) {
        members.apply_relayed_record(
            record_of("service-with-a-long-name-target-" + std::to_string(n), ~n, seconds{n}), start);
    }
    gossip_composer composer{identity(), members, random_source{1}};
    const auto message = composer.compose_request({{~0ULL, ~0ULL}, unknown_age}, start);
    CHECK(message.members.size() > 16);
    CHECK(encode(control_message{message}).size() <= record_list::max_datagram_bytes);
}

} // namespace cornelpier
