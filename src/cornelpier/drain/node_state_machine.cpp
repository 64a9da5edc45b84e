#include "cornelpier/drain/node_state_machine.hpp"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <array>
#include <cstddef>

namespace cornelpier {

namespace {

namespace front = boost::msm::front;

struct became_ready {};
struct drain_required {};
struct drain_cleared {};
struct drain_finished {};

struct starting : front::state<> {};
struct serving : front::state<> {};
struct draining : front::state<> {};
struct stopped : front::state<> {};

/// Contains only the transitions; the drain causes are tracked by `node_state_machine::implementation`.
struct lifecycle_definition : front::state_machine_def<lifecycle_definition> {
    using initial_state = starting;

    struct transition_table : boost::mpl::vector<                                    //
                                  front::Row<starting, became_ready, serving>,       //
                                  front::Row<starting, drain_required, draining>,    //
                                  front::Row<serving, drain_required, draining>,     //
                                  front::Row<draining, drain_cleared, serving>,      //
                                  front::Row<draining, drain_finished, stopped>> {}; //

    /// Ignores events that have no transition from the current state.
    template <typename Machine, typename Event>
    void no_transition(const Event& /*event*/, Machine& /*machine*/, int /*state*/) {}
};

using lifecycle = boost::msm::back::state_machine<lifecycle_definition>;

constexpr std::size_t cause_count = 3;

} // namespace

class node_state_machine::implementation {
  public:
    implementation() { m_machine.start(); }

    /// Starts or cancels the drain according to the causes. Before the first plan only `terminate` counts.
    void apply_causes() {
        const bool terminating = has_cause(drain_cause::terminate);
        if (!terminating && !m_ready) {
            return;
        }
        const bool must_drain =
            terminating || has_cause(drain_cause::server_draining) || has_cause(drain_cause::vm_leaving);
        if (must_drain) {
            m_machine.process_event(drain_required{});
            return;
        }
        m_machine.process_event(became_ready{});
        m_machine.process_event(drain_cleared{});
    }

    void mark_ready() {
        m_ready = true;
        apply_causes();
    }

    void set_cause(drain_cause cause, bool active) {
        m_causes.at(static_cast<std::size_t>(cause)) = active;
        apply_causes();
    }

    void finish() {
        if (has_cause(drain_cause::terminate)) {
            m_machine.process_event(drain_finished{});
        }
    }

    [[nodiscard]] bool has_cause(drain_cause cause) const {
        return m_causes.at(static_cast<std::size_t>(cause));
    }

    [[nodiscard]] node_state state() const {
        // Boost.MSM numbers the states in the order in which the transition table names them.
        constexpr std::array states{node_state::starting, node_state::serving, node_state::draining,
                                    node_state::stopped};
        return states.at(static_cast<std::size_t>(*m_machine.current_state()));
    }

  private:
    lifecycle m_machine;
    std::array<bool, cause_count> m_causes{};
    bool m_ready = false;
};

node_state_machine::node_state_machine() : m_implementation(std::make_unique<implementation>()) {}

node_state_machine::~node_state_machine() = default;

void node_state_machine::mark_ready() {
    m_implementation->mark_ready();
}

void node_state_machine::add_cause(drain_cause cause) {
    m_implementation->set_cause(cause, true);
}

void node_state_machine::remove_cause(drain_cause cause) {
    if (cause != drain_cause::terminate) {
        m_implementation->set_cause(cause, false);
    }
}

void node_state_machine::finish() {
    m_implementation->finish();
}

node_state node_state_machine::state() const {
    return m_implementation->state();
}

bool node_state_machine::has_cause(drain_cause cause) const {
    return m_implementation->has_cause(cause);
}

} // namespace cornelpier
