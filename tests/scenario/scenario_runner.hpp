#pragma once

#include "tests/scenario/scenario_parser.hpp"
#include "tests/support/fleet.hpp"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cornelpier::testing {

/// Result of a scenario.
struct scenario_result {
    std::string transcript;
    std::vector<std::string> failures; ///< Unmet expectations and violations found by `check_history`.
};

/// Runs a scenario. The commands are documented in tests/scenarios/README.md.
class scenario_runner {
  public:
    /// @return the transcript and the failures, which are the same in every run of the same commands.
    static scenario_result run(const std::vector<scenario_command>& commands);

  private:
    void configure(const scenario_command& command);
    void start_fleet();
    void execute(const scenario_command& command);
    bool execute_on_process(const scenario_command& command);
    bool execute_on_network(const scenario_command& command);
    bool execute_on_server(const scenario_command& command);
    bool execute_on_platform(const scenario_command& command);
    void send_call(const scenario_command& command);
    void start_load(const scenario_command& command);
    void publish_plan(const scenario_command& command);
    void expect(const scenario_command& command);
    void expect_load(const scenario_command& command);
    void expect_plan(const scenario_command& command);
    void add_failure(const scenario_command& command, const std::string& text);
    void check_option(const scenario_command& command, const std::string& name, const std::string& actual);

    template <typename Function>
    void for_each_pair(const scenario_command& command, Function function);

    fleet_settings m_settings;
    plan m_plan;
    std::unique_ptr<fleet> m_fleet;
    std::map<std::string, std::size_t> m_calls;
    scenario_result m_result;
};

} // namespace cornelpier::testing
