#include "daemon/node/control_runner.hpp"

#include <variant>

namespace cornelpier {

control_runner::control_runner(boost::asio::io_context& context, node_identity identity, std::uint64_t seed,
                               control_outputs outputs)
    : m_outputs(std::move(outputs)),
      m_runner(context, control_core{std::move(identity), seed, monotonic_now()},
               [this](control_actions& actions) { execute_actions(actions); }) {}

void control_runner::snapshot(std::function<void(control_snapshot)> on_taken) {
    m_runner.inspect([on_taken = std::move(on_taken)](const control_core& core) {
        on_taken(core.snapshot(monotonic_now()));
    });
}

void control_runner::execute_actions(control_actions& actions) {
    for (auto& it : actions) {
        std::visit([this](auto& action) { execute(action); }, it);
    }
}

void control_runner::execute(send_control_message& action) {
    if (std::holds_alternative<gossip>(action.message)) {
        m_outputs.gossip_messages.send(action.address, action.message);
        return;
    }
    m_outputs.links.send_control(action.address, std::move(action.message));
}

} // namespace cornelpier
