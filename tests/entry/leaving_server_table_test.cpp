#include "cornelpier/entry/leaving_server_table.hpp"

#include <catch2/catch.hpp>

namespace cornelpier {

using std::chrono::seconds;

namespace {

const target_id target{"t0"};
constexpr time_point start{seconds{100}};

load_reading reading(bool known, bool leaving) {
    load_reading result;
    result.target = target;
    result.advice_known = known;
    result.server_leaving = leaving;
    return result;
}

fleet_view view_with(const std::string& instance, vm_state state) {
    auto current_plan = std::make_shared<plan>();
    service_plan service;
    target_plan planned{target, vm_id{"vm"}, data_centre_id{"dc"}, "127.0.0.1:1"};
    planned.instance = instance;
    service.targets.push_back(std::move(planned));
    current_plan->services.push_back(std::move(service));
    fleet_view result;
    result.current_plan = std::move(current_plan);
    result.vm_states[target] = state;
    return result;
}

} // namespace

TEST_CASE("an owner that knows nothing of its server does not bring back one that leaves",
          "[entry][leaving]") {
    leaving_server_table table;
    table.on_reading(reading(true, true), "i-1", start);
    table.on_reading(reading(false, false), "i-1", start);
    CHECK(table.contains(target, start + seconds{10}));
    table.on_reading(reading(true, false), "i-1", start);
    CHECK_FALSE(table.contains(target, start));
}

TEST_CASE("a server that leaves is remembered until the fleet view shows it", "[entry][leaving]") {
    leaving_server_table table;
    const auto is_kept = [&](const fleet_view& view) {
        table.on_reading(reading(true, true), "i-1", start);
        table.on_view(view);
        return table.contains(target, start);
    };
    CHECK(is_kept(view_with("i-1", vm_state::live)));
    CHECK_FALSE(is_kept(view_with("i-1", vm_state::leaving)));
    CHECK_FALSE(is_kept(view_with("i-2", vm_state::live)));
    fleet_view without_target = view_with("i-1", vm_state::live);
    without_target.current_plan = std::make_shared<plan>();
    CHECK_FALSE(is_kept(without_target));

    table.on_reading(reading(true, true), "i-1", start);
    CHECK_FALSE(table.contains(target, start + seconds{60}));
}

} // namespace cornelpier
