#include "tests/soak/soak_runner.hpp"

#include "tests/process/support/becomes_true.hpp"
#include "tests/process/support/http_call.hpp"

#include <array>
#include <csignal>
#include <future>
#include <iostream>
#include <utility>

namespace cornelpier::soak {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t max_attempts = 2; ///< Same value as in the routes of the plan.

/// Specified by the platform: the time until a process must exit after SIGTERM, and the time until a new plan
/// or a draining server must be known to all nodes.
constexpr milliseconds shutdown_grace{6000};
constexpr milliseconds propagation_limit{2000};

/// Longer than the propagation limit, so that the server still runs when it must get no more requests.
constexpr milliseconds server_exit_delay{3000};

/// Time from the return of the store until the missing entries are restored. The platform specifies at most 2
/// s.
constexpr milliseconds entries_restored_after{1200};

/// Specified by the platform: after this time, a quarter of the previous throughput must be reached. The soak
/// is stricter: all nodes must be ready and nearly all requests served.
constexpr milliseconds recovery_limit{15000};
constexpr milliseconds recovery_window{2000};
constexpr int min_served_per_connection = 10;

constexpr int extra_caller_factor = 4;
constexpr milliseconds link_delay{120};
constexpr double faulty_response_share = 0.3;
constexpr double slow_factor = 6;

/// Rate that a server names, and how long. Without it a server gets several times as many requests.
constexpr double limited_rate = 2;
constexpr milliseconds limit_duration{6000};

/// How often a deadly request is sent, and for how long a server that it ended is away.
constexpr int deadly_repeats = 40;
constexpr milliseconds deadly_interval{250};
constexpr milliseconds crash_outage{1000};

/// Time for which the store is away before it returns from its copy.
constexpr milliseconds restore_outage{500};

} // namespace

soak_runner::soak_runner(soak_options options)
    : m_options(std::move(options)), m_checker(max_attempts), m_deadly(m_checker, m_faults),
      m_fleet(m_context, m_checker, m_options.sidecar, m_options.directory, m_options.vms, m_options.seed),
      m_callers(m_context, m_checker, m_faults, m_options.seed),
      m_busy(static_cast<std::size_t>(m_options.vms)),
      m_server_draining(static_cast<std::size_t>(m_options.vms)), m_started_at(steady_clock::now()),
      m_thread([this] {
          const auto guard = boost::asio::make_work_guard(m_context);
          m_context.run();
      }) {
    for (int vm = 0; vm < m_options.vms; ++vm) {
        auto& server = *m_fleet.vms[static_cast<std::size_t>(vm)].server;
        server.fault_free_since = [this](auto since) { return m_faults.fault_free_since(since); };
        server.deadly = &m_deadly;
        server.on_crash = [this, vm] { crash_server(vm); };
    }
}

soak_runner::~soak_runner() {
    for (auto& it : m_fleet.vms) {
        it.node.reset();
    }
    m_context.stop();
    m_thread.join();
}

std::vector<std::string> soak_runner::run() {
    for (int vm = 0; vm < m_options.vms; ++vm) {
        m_fleet.start_node(vm);
    }
    if (!wait_until_ready(recovery_limit)) {
        return {"start: not all nodes are ready"};
    }
    on_context([this] {
        for (int vm = 0; vm < m_options.vms; ++vm) {
            m_callers.start(m_fleet.caller_address(vm), connection_count(vm));
        }
    });

    m_started_at = steady_clock::now();
    for (const auto& it : make_schedule(m_options.seed, m_options.vms, m_options.length)) {
        run_due_actions(m_started_at + it.at);
        start_event(it);
    }
    run_due_actions(time_point::max());
    check_recovery();

    std::vector<std::string> violations;
    std::string answers;
    std::size_t crashes = 0;
    on_context([&] {
        m_callers.stop();
        crashes = m_deadly.crashes();
        m_checker.finish();
        violations = m_checker.violations();
        for (const auto& [status, count] : m_checker.answers()) {
            answers += ' ' + (status == 0 ? "none" : std::to_string(status)) + ':' + std::to_string(count);
        }
    });
    std::cout << "seed " << m_options.seed << " answers" << answers << ", crashes " << crashes << ", broken "
              << violations.size() << '\n';
    return violations;
}

/// Every other VM has more callers than its server has slots, so that nodes forward requests to others all
/// the time.
int soak_runner::connection_count(int vm) const {
    return vm % 2 == 0 ? m_options.connections : extra_caller_factor * m_options.connections;
}

void soak_runner::start_event(const fault_event& event) {
    log_event(to_string(event.kind) + " vm " + std::to_string(event.vm) + " for " +
              std::to_string(event.duration.count()) + " ms");
    if (is_planned(event.kind)) {
        run_planned_operation(event);
    } else if (event.kind == fault_kind::deadly_request) {
        // No fault that excuses anything: the nodes have to serve all others meanwhile.
        on_context([this] { send_deadly_requests(); });
    } else {
        on_context([this] { m_faults.begin(); });
        inject_fault(event);
        run_after(event.duration, [this, event] {
            log_event("end of " + to_string(event.kind) + " vm " + std::to_string(event.vm));
            on_context([this] { m_faults.end(); });
        });
    }
}

void soak_runner::run_planned_operation(const fault_event& event) {
    const auto vm = static_cast<std::size_t>(event.vm);
    switch (event.kind) {
    case fault_kind::terminate:
        if (!m_busy[vm]) {
            terminate(event.vm);
        }
        break;
    case fault_kind::hang_up:
        if (!m_busy[vm]) {
            m_fleet.vms[vm].node->send_signal(SIGHUP);
        }
        break;
    case fault_kind::replace_server:
    case fault_kind::unlist_server:
        if (!m_server_draining[vm]) {
            replace_server(event);
        }
        break;
    default:
        change_plan();
    }
}

void soak_runner::terminate(int vm) {
    const auto index = static_cast<std::size_t>(vm);
    m_busy[index] = true;
    m_fleet.vms[index].node->send_signal(SIGTERM);
    run_after(shutdown_grace, [this, vm, index] {
        const auto status = m_fleet.vms[index].node->wait(milliseconds{0});
        if (status != 0) {
            const std::string text = status ? "status " + std::to_string(*status) : "still running";
            on_context([this, text, vm] {
                m_checker.add_violation("grace", "-", "vm " + std::to_string(vm) + " after SIGTERM: " + text);
            });
        }
        restart_node(vm);
    });
}

void soak_runner::restart_node(int vm) {
    m_fleet.vms[static_cast<std::size_t>(vm)].node.reset();
    m_fleet.start_node(vm);
    m_busy[static_cast<std::size_t>(vm)] = false;
}

void soak_runner::replace_server(const fault_event& event) {
    const int vm = event.vm;
    const auto index = static_cast<std::size_t>(vm);
    m_server_draining[index] = true;
    on_context([this, vm, index, kind = event.kind] {
        if (kind == fault_kind::unlist_server) {
            m_fleet.remove_server_entry(vm);
        } else {
            m_fleet.write_server_entry(vm, "draining");
        }
        m_fleet.vms[index].server->start_drain(steady_clock::now(), propagation_limit);
    });
    run_after(server_exit_delay, [this, vm, index] {
        on_context([this, vm] { m_fleet.replace_server(vm); });
        m_server_draining[index] = false;
    });
}

void soak_runner::change_plan() {
    const int version = ++m_plan_version;
    const auto now = steady_clock::now();
    on_context([this] { m_fleet.change_plan(); });
    run_after(propagation_limit, [this, version, now] {
        if (version != m_plan_version) {
            return;
        }
        on_context([this, version, now] {
            for (int vm = 0; vm < m_options.vms; ++vm) {
                m_callers.check_plan(m_fleet.caller_address(vm), version, now);
            }
        });
    });
}

void soak_runner::inject_fault(const fault_event& event) {
    const auto index = static_cast<std::size_t>(event.vm);
    auto& vm = m_fleet.vms[index];
    switch (event.kind) {
    case fault_kind::kill:
    case fault_kind::kill_all:
        for (int n = 0; n < m_options.vms; ++n) {
            const auto other = static_cast<std::size_t>(n);
            if ((n == event.vm || event.kind == fault_kind::kill_all) && !m_busy[other]) {
                m_busy[other] = true;
                m_fleet.vms[other].node->send_signal(SIGKILL);
                run_after(event.duration, [this, n] { restart_node(n); });
            }
        }
        break;
    case fault_kind::pause:
        if (!m_busy[index]) {
            m_busy[index] = true;
            vm.node->send_signal(SIGSTOP);
            run_after(event.duration, [this, index] {
                m_fleet.vms[index].node->send_signal(SIGCONT);
                m_busy[index] = false;
            });
        }
        break;
    case fault_kind::lapse:
    case fault_kind::store_down:
        take_store_down(event);
        break;
    case fault_kind::restore_store:
        restore_store(event);
        break;
    case fault_kind::refuse_store:
        refuse_store(event);
        break;
    case fault_kind::limit_server:
        on_context([&] { vm.server->set_rate_limit(limited_rate); });
        run_after(limit_duration, [this, index] {
            on_context([this, index] { m_fleet.vms[index].server->set_rate_limit(std::nullopt); });
        });
        break;
    default:
        inject_link_fault(event);
    }
}

void soak_runner::take_store_down(const fault_event& event) {
    if (std::exchange(m_store_busy, true)) {
        return;
    }
    on_context([&] {
        m_fleet.store.set_down(true);
        if (event.kind == fault_kind::lapse) {
            for (const auto& it : m_fleet.vms) {
                m_fleet.store.remove("servers/" + it.server->instance);
            }
        }
    });
    run_after(event.duration, [this] { on_context([this] { m_fleet.store.set_down(false); }); });
    run_after(event.duration + entries_restored_after, [this] {
        write_entries_again();
        m_store_busy = false;
    });
}

void soak_runner::restore_store(const fault_event& event) {
    if (std::exchange(m_store_busy, true)) {
        return;
    }
    on_context([this] { m_fleet.store.save_copy(); });
    run_after(event.duration, [this] { on_context([this] { m_fleet.store.set_down(true); }); });
    run_after(event.duration + restore_outage, [this] {
        on_context([this] {
            m_fleet.store.restore_copy();
            m_fleet.store.set_down(false);
            m_fleet.write_plan_again();
        });
    });
    run_after(event.duration + restore_outage + entries_restored_after, [this] {
        write_entries_again();
        m_store_busy = false;
    });
}

void soak_runner::refuse_store(const fault_event& event) {
    using standins::store_refusal;
    constexpr std::array refusals{store_refusal::unavailable, store_refusal::too_many_requests,
                                  store_refusal::disconnect, store_refusal::silence};
    const auto n = static_cast<std::size_t>(event.duration.count()) % refusals.size();
    on_context([&] { m_fleet.refuse_store(event.vm, refusals.at(n)); });
    run_after(event.duration, [this, vm = event.vm] {
        on_context([this, vm] { m_fleet.refuse_store(vm, store_refusal::none); });
    });
}

void soak_runner::send_deadly_requests() {
    std::vector<std::string> addresses;
    for (int vm = 0; vm < m_options.vms; ++vm) {
        addresses.push_back(m_fleet.caller_address(vm));
    }
    m_callers.send_repeatedly(std::move(addresses),
                              deadly_tracker::path_prefix + std::to_string(++m_deadly_requests),
                              deadly_repeats, deadly_interval);
}

/// Runs on the thread of the io_context.
void soak_runner::crash_server(int vm) {
    auto& proxy = *m_fleet.vms[static_cast<std::size_t>(vm)].server_proxy;
    proxy.set_refusing(true);
    proxy.reset_all();
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, crash_outage);
    timer->async_wait([&proxy, timer](boost::system::error_code) { proxy.set_refusing(false); });
}

void soak_runner::write_entries_again() {
    on_context([this] {
        for (int vm = 0; vm < m_options.vms; ++vm) {
            const bool draining = m_server_draining[static_cast<std::size_t>(vm)];
            m_fleet.write_server_entry(vm, draining ? "draining" : "ready");
        }
    });
}

void soak_runner::inject_link_fault(const fault_event& event) {
    auto* vm = &m_fleet.vms[static_cast<std::size_t>(event.vm)];
    const auto change = [&](const std::function<void(bool)>& apply) {
        on_context([&] { apply(true); });
        run_after(event.duration, [this, apply] { on_context([&] { apply(false); }); });
    };
    switch (event.kind) {
    case fault_kind::delay_links:
        change([vm](bool on) {
            vm->link_proxy->set_fault({on ? link_delay : milliseconds{0}, false, false});
        });
        break;
    case fault_kind::cut_to:
        change([vm](bool on) { vm->link_proxy->set_fault({milliseconds{0}, on, false}); });
        break;
    case fault_kind::cut_from:
        change([vm](bool on) { vm->link_proxy->set_fault({milliseconds{0}, false, on}); });
        break;
    case fault_kind::cut_store:
        change([vm](bool on) { vm->store_proxy->set_fault({milliseconds{0}, on, on}); });
        break;
    case fault_kind::lose_answers:
        change([vm](bool on) { vm->server->dropped_response_share = on ? faulty_response_share : 0; });
        break;
    case fault_kind::cut_answers:
        change([vm](bool on) { vm->server->truncated_response_share = on ? faulty_response_share : 0; });
        break;
    case fault_kind::slow_server:
        change([vm](bool on) { vm->server->slowness = on ? slow_factor : 1; });
        break;
    case fault_kind::reset_links:
        on_context([vm] { vm->link_proxy->reset_all(); });
        break;
    case fault_kind::mute_links:
        on_context([vm] { vm->link_proxy->stall_all(); });
        break;
    case fault_kind::reset_store:
        on_context([vm] { vm->store_proxy->reset_all(); });
        break;
    case fault_kind::mute_store:
        on_context([vm] { vm->store_proxy->stall_all(); });
        break;
    default:
        on_context([vm] { vm->server_proxy->reset_all(); });
    }
}

void soak_runner::check_recovery() {
    if (!wait_until_ready(recovery_limit)) {
        on_context([this] { m_checker.add_violation("recover", "-", "not all nodes are ready"); });
        return;
    }
    std::this_thread::sleep_for(stabilization_time);
    on_context([this] { static_cast<void>(m_callers.take_served()); });
    std::this_thread::sleep_for(recovery_window);
    on_context([this] {
        auto served = m_callers.take_served();
        for (int vm = 0; vm < m_options.vms; ++vm) {
            const int wanted = min_served_per_connection * connection_count(vm);
            const int count = served[m_fleet.caller_address(vm)];
            if (count < wanted) {
                m_checker.add_violation("recover", "-",
                                        "vm " + std::to_string(vm) + " served " + std::to_string(count) +
                                            ", wanted " + std::to_string(wanted));
            }
        }
    });
}

bool soak_runner::wait_until_ready(milliseconds limit) {
    return test::becomes_true(limit, [this] {
        for (int vm = 0; vm < m_options.vms; ++vm) {
            try {
                const auto address = m_fleet.readiness_address(vm);
                if (test::call(address, test::get_request("/readiness", "node")).status != 200) {
                    return false;
                }
            } catch (const std::runtime_error&) {
                return false;
            }
        }
        return true;
    });
}

void soak_runner::run_after(milliseconds after, std::function<void()> action) {
    m_scheduled_actions.emplace(steady_clock::now() + after, std::move(action));
}

void soak_runner::run_due_actions(time_point until) {
    while (!m_scheduled_actions.empty() && m_scheduled_actions.begin()->first <= until) {
        const auto first = m_scheduled_actions.extract(m_scheduled_actions.begin());
        std::this_thread::sleep_until(first.key());
        first.mapped()();
    }
    if (until != time_point::max()) {
        std::this_thread::sleep_until(until);
    }
}

void soak_runner::on_context(const std::function<void()>& action) {
    std::promise<void> done;
    boost::asio::post(m_context, [&] {
        action();
        done.set_value();
    });
    done.get_future().get();
}

void soak_runner::log_event(const std::string& text) const {
    if (m_options.verbose) {
        const auto now = std::chrono::duration_cast<milliseconds>(steady_clock::now() - m_started_at);
        std::cout << now.count() << " ms " << text << std::endl;
    }
}

} // namespace cornelpier::soak
