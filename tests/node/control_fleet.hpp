#pragma once

#include "cornelpier/base/random_source.hpp"
#include "cornelpier/message/codec.hpp"
#include "cornelpier/node/control_core.hpp"
#include "cornelpier/plan/plan_parser.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cornelpier {

/// Plan sheet with one service per 20 targets, which are assigned to the data centres in rotation.
inline std::string fleet_sheet(std::uint64_t version, std::size_t targets, std::size_t data_centres = 5) {
    std::string sheet =
        R"({"version": )" + std::to_string(version) + R"(, "deployment": "test", "services": [)";
    for (std::size_t n = 0; n < targets; ++n) {
        const auto id = std::to_string(n);
        if (n % 20 == 0) {
            sheet += (n == 0 ? "" : "]},") + std::string{R"({"id": "service-)"} + std::to_string(n / 20) +
                     R"(", "slots": 10, "targets": [)";
        }
        sheet += n % 20 == 0 ? "" : ",";
        sheet += R"({"id": "target-)";
        sheet += id;
        sheet += R"(", "vm": "vm-)";
        sheet += id;
        sheet += R"(", "data_centre": "dc-)" + std::to_string(n % data_centres) + R"(", "node": "10.0.)" +
                 std::to_string(n / 250) + "." + std::to_string(n % 250) + R"(:7100"})";
    }
    return sheet + (targets == 0 ? "]}" : "]}]}");
}

/// Control cores on a simulated network with virtual time, a configuration service and a VM list.
class control_fleet {
  public:
    struct node {
        std::unique_ptr<control_core> core;
        bool alive = true;
        int partition = 0; ///< Nodes in different partitions cannot reach each other.
        std::vector<std::uint64_t> published;
        shared_fleet_view view;
        std::vector<event_record> events;
        std::vector<std::size_t> pulled_from;
        std::size_t reads = 0;
        std::size_t datagrams = 0; ///< Sent since the start.
        time_point wake_at{duration::max()};
    };

    explicit control_fleet(std::size_t data_centres = 5) : m_data_centres(data_centres) {}
    control_fleet(const control_fleet&) = delete;
    control_fleet& operator=(const control_fleet&) = delete;
    control_fleet(control_fleet&&) = delete;
    control_fleet& operator=(control_fleet&&) = delete;
    ~control_fleet() = default;

    /// Starts a node. A node that was started before restarts with a new incarnation.
    node& start(std::size_t n, const std::vector<std::size_t>& seeds) {
        if (nodes.size() <= n) {
            nodes.resize(n + 1);
        }
        node_identity identity{target_id{name(n)},
                               incarnation{m_random.next() | 1U},
                               vm_id{"vm-" + std::to_string(n)},
                               data_centre_id{"dc-" + std::to_string(n % m_data_centres)},
                               service_id{},
                               {}};
        for (const auto it : seeds) {
            identity.seeds.push_back({target_id{name(it)}, name(it)});
        }
        const int partition = nodes[n].partition;
        nodes[n] = node{};
        nodes[n].partition = partition;
        nodes[n].core =
            std::make_unique<control_core>(std::move(identity), m_random.next(), now, cached_reader());
        schedule(n);
        return nodes[n];
    }

    void start_all(std::size_t count) {
        for (std::size_t n = 0; n < count; ++n) {
            start(n, {(n + 1) % count, (n + 7) % count, (n + 31) % count});
        }
    }

    /// Delivers an event to a node and executes its actions.
    void deliver(std::size_t n, const control_event& event) {
        control_actions actions;
        nodes[n].core->handle(event, now, actions);
        execute(n, actions);
    }

    void run_for(duration length) {
        const time_point end = now + length;
        while (!m_queue.empty() && m_queue.front().at <= end) {
            std::pop_heap(m_queue.begin(), m_queue.end());
            const auto next = std::move(m_queue.back());
            m_queue.pop_back();
            now = next.at;
            next.action();
        }
        now = end;
    }

    /// @return virtual time until the condition was true, or nothing after the limit.
    std::optional<duration> run_until(const std::function<bool()>& condition, duration limit) {
        const time_point begin = now;
        while (!condition()) {
            if (now - begin >= limit) {
                return std::nullopt;
            }
            run_for(std::chrono::milliseconds{50});
        }
        return now - begin;
    }

    /// Sets the sheet of the configuration service and answers pending watches.
    void serve(std::uint64_t version, const std::string& sheet) {
        served_version = version;
        served = sheet;
        auto waiting = std::exchange(m_watches, {});
        for (const auto& it : waiting) {
            answer(it.first, it.second);
        }
    }

    /// @return true if every running node, of one partition or of all, has the version in force.
    [[nodiscard]] bool in_force(std::uint64_t version, int only_partition = -1) const {
        return std::ranges::all_of(nodes, [&](const node& it) {
            return !it.alive || (only_partition >= 0 && it.partition != only_partition) ||
                   (!it.published.empty() && it.published.back() == version);
        });
    }

    /// @return the number of running readers of a data centre in a partition.
    [[nodiscard]] std::size_t readers(std::size_t data_centre, int partition = 0) const {
        std::size_t count = 0;
        for (std::size_t n = data_centre; n < nodes.size(); n += m_data_centres) {
            count += nodes[n].alive && nodes[n].partition == partition && nodes[n].core->snapshot(now).reader
                         ? 1U
                         : 0U;
        }
        return count;
    }

    [[nodiscard]] std::size_t count_events(std::size_t n, event_number number) const {
        return static_cast<std::size_t>(std::ranges::count(nodes[n].events, number, &event_record::number));
    }

    static std::string name(std::size_t n) { return "target-" + std::to_string(n); }

    std::vector<node> nodes;
    time_point now{std::chrono::seconds{1000}};
    bool service_up = true;
    std::uint64_t served_version = 0;
    std::string served;
    std::vector<std::pair<vm_id, vm_state>> vms;
    std::size_t reads = 0;
    std::size_t gossip_count = 0;
    std::size_t gossip_bytes = 0; ///< Sampled from every 16th message, with 28 bytes of headers each.
    std::size_t plan_bytes = 0;   ///< Size of all sheets that nodes sent to each other.
    bool use_codec = false;       ///< Encodes, counts and decodes every message.

  private:
    struct queued {
        time_point at;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const queued& other) const {
            return std::pair{at, order} > std::pair{other.at, other.order};
        }
    };

    plan_parse_function cached_reader() {
        return [this](std::string_view sheet) -> checked_result<shared_plan> {
            auto& cached = m_parsed_plans[std::string{sheet}];
            if (!cached) {
                auto outcome = parse_plan(sheet);
                if (auto* mistakes = std::get_if<std::vector<error>>(&outcome)) {
                    return *mistakes;
                }
                cached = std::make_shared<const plan>(std::get<plan>(std::move(outcome)));
            }
            return cached;
        };
    }

    void at(time_point when, std::function<void()> action) {
        m_queue.push_back({when, ++m_order, std::move(action)});
        std::push_heap(m_queue.begin(), m_queue.end());
    }

    duration delay() { return std::chrono::milliseconds{1 + m_random.below(30)}; }

    void schedule(std::size_t n) {
        const auto due = nodes[n].core->next_due();
        if (!due || *due == nodes[n].wake_at) {
            return;
        }
        nodes[n].wake_at = *due;
        at(std::max(*due, now), [this, n, when = *due] {
            if (!nodes[n].alive || nodes[n].wake_at != when) {
                return;
            }
            nodes[n].wake_at = time_point{duration::max()};
            control_actions actions;
            nodes[n].core->advance(now, actions);
            execute(n, actions);
        });
    }

    void execute(std::size_t n, control_actions& actions) {
        for (auto& action : actions) {
            std::visit([&](auto& it) { execute(n, it); }, action);
        }
        schedule(n);
    }

    void count_bytes(control_message& message, bool datagram) {
        if (const auto* push = std::get_if<plan_push>(&message)) {
            plan_bytes += push->sheet.size();
        }
        gossip_count += datagram ? 1U : 0U;
        if (use_codec) {
            const auto bytes = encode(message);
            gossip_bytes += datagram ? bytes.size() + 28 : 0U;
            auto decoded = std::get<node_message>(decode(bytes));
            message = std::get<control_message>(std::move(decoded));
        } else if (datagram && gossip_count % 16 == 0) {
            gossip_bytes += 16 * (encode(message).size() + 28);
        }
    }

    void execute(std::size_t n, send_control_message& action) {
        const std::size_t to = std::stoul(action.to.value().substr(7));
        const bool datagram = std::holds_alternative<gossip>(action.message);
        count_bytes(action.message, datagram);
        nodes[n].datagrams += datagram ? 1U : 0U;
        if (std::holds_alternative<plan_pull>(action.message)) {
            nodes[n].pulled_from.push_back(to);
        }
        if (datagram && m_random.below(100) < 5) {
            return;
        }
        at(now + delay(),
           [this, n, to, message = std::make_shared<control_message>(std::move(action.message))] {
               if (to < nodes.size() && nodes[to].core && nodes[to].alive &&
                   nodes[to].partition == nodes[n].partition) {
                   deliver(to, control_message_received{std::move(*message), {}});
               }
           });
    }

    void execute(std::size_t n, const read_plan& action) {
        ++reads;
        ++nodes[n].reads;
        if (service_up && nodes[n].partition == 0 && action.newer_than == served_version) {
            m_watches.emplace_back(n, action);
            at(now + action.wait, [this, n] {
                const auto it = std::ranges::find(m_watches, n, &std::pair<std::size_t, read_plan>::first);
                if (it != m_watches.end()) {
                    m_watches.erase(it);
                    reply(n, plan_unchanged{});
                }
            });
            return;
        }
        answer(n, action);
    }

    void answer(std::size_t n, const read_plan& /*action*/) {
        if (!service_up || served.empty() || nodes[n].partition != 0) {
            reply(n, plan_read_failed{});
        } else {
            reply(n, plan_read{served});
        }
    }

    void execute(std::size_t n, const read_vm_list& /*action*/) {
        if (service_up && nodes[n].partition == 0) {
            reply(n, vm_list_read{vms});
        } else {
            reply(n, vm_list_read_failed{});
        }
    }

    void execute(std::size_t n, const publish_view& action) {
        nodes[n].view = action.view;
        const auto version = action.view->current_plan->version;
        if (nodes[n].published.empty() || nodes[n].published.back() != version) {
            nodes[n].published.push_back(version);
        }
    }

    void execute(std::size_t n, const record_event& action) { nodes[n].events.push_back(action.record); }

    void reply(std::size_t n, control_event event) {
        at(now + delay(), [this, n, event = std::move(event)] {
            if (nodes[n].alive) {
                deliver(n, event);
            }
        });
    }

    std::size_t m_data_centres;
    random_source m_random{7};
    std::uint64_t m_order = 0;
    std::vector<queued> m_queue; ///< Heap with the earliest entry at the front.
    std::vector<std::pair<std::size_t, read_plan>> m_watches;
    std::map<std::string, shared_plan> m_parsed_plans;
};

} // namespace cornelpier
