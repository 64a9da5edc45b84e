#include "daemon/node/traffic_runner.hpp"

#include <variant>

namespace cornelpier {

traffic_runner::traffic_runner(boost::asio::io_context& context, node_identity identity, std::uint64_t seed,
                               traffic_outputs outputs, traffic_options options)
    : m_strand(make_strand(context)), m_outputs(std::move(outputs)),
      m_runner(m_strand, traffic_core{std::move(identity), seed, monotonic_now(), std::move(options)},
               [this](traffic_actions& actions) { execute_actions(actions); }) {}

void traffic_runner::snapshot(std::function<void(traffic_snapshot)> on_taken) {
    m_runner.inspect(
        [on_taken = std::move(on_taken)](const traffic_core& core) { on_taken(core.snapshot()); });
}

void traffic_runner::execute_actions(traffic_actions& actions) {
    for (auto& it : actions) {
        std::visit([this](auto& action) { execute(action); }, it);
    }
    report_state();
}

void traffic_runner::report_state() {
    const node_state state = m_runner.core().state();
    if (state != m_state) {
        m_state = state;
        m_outputs.state_changed(state);
    }
}

} // namespace cornelpier
