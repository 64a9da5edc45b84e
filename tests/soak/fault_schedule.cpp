#include "tests/soak/fault_schedule.hpp"

#include <algorithm>
#include <array>
#include <random>

namespace cornelpier::soak {

namespace {

using std::chrono::milliseconds;

constexpr std::array<const char*, 26> kind_names{
    "terminate",    "hang_up",      "replace_server", "change_plan",  "kill",          "kill_all",
    "pause",        "delay_links",  "cut_to",         "cut_from",     "reset_links",   "mute_links",
    "cut_store",    "reset_store",  "mute_store",     "store_down",   "lapse",         "reset_server",
    "lose_answers", "cut_answers",  "slow_server",    "limit_server", "restore_store", "deadly_request",
    "refuse_store", "unlist_server"};

constexpr auto first_fault = static_cast<int>(fault_kind::kill);
constexpr auto last_kind = static_cast<int>(fault_kind::slow_server);

/// Faults with a random generator of their own, so that the others stay the same for each seed.
constexpr auto first_separate_kind = static_cast<int>(fault_kind::limit_server);
constexpr auto last_separate_kind = static_cast<int>(fault_kind::restore_store);
constexpr std::uint32_t separate_seed_offset = 1'000'003;
constexpr auto deadly_kind = static_cast<int>(fault_kind::deadly_request);
constexpr std::uint32_t deadly_seed_offset = 2'000'003;
constexpr std::uint32_t refusal_seed_offset = 3'000'017;

/// Lengths of the phases of a round: faults with planned operations, then planned operations alone.
constexpr milliseconds fault_phase{5000};
constexpr milliseconds planned_phase{5000};

/// Upper limits of the duration of a fault and of the time between two events.
constexpr int max_fault_ms = 3500;
constexpr int max_gap_ms = 700;
constexpr int max_planned_gap_ms = 1200;

class generator {
  public:
    generator(std::uint32_t seed, int vms) : m_random(seed), m_vms(vms) {}

    /// Adds one event of each kind from a range to the faults of a round.
    void add_each(milliseconds from, int first, int last) {
        for (int kind = first; kind <= last; ++kind) {
            add(from + milliseconds{random_between(0, static_cast<int>(fault_phase.count()))}, kind);
        }
    }

    void add_round(milliseconds from) {
        for (auto at = from; at < from + fault_phase; at += milliseconds{random_between(50, max_gap_ms)}) {
            const bool planned = random_between(0, 3) == 0;
            add(at, planned ? random_between(0, first_fault - 1) : random_between(first_fault, last_kind));
        }
        const auto calm = from + calm_start;
        for (auto at = calm; at < calm + planned_phase;
             at += milliseconds{random_between(50, max_planned_gap_ms)}) {
            add(at, random_between(0, first_fault - 1));
        }
    }

    /// Adds a refusal of one node and servers that leave as it ends and while no fault is active.
    void add_refusal(milliseconds from) {
        const auto at = from + milliseconds{random_between(0, static_cast<int>(fault_phase.count()))};
        add(at, static_cast<int>(fault_kind::refuse_store));
        const auto end = at + events.back().duration;
        add(end + milliseconds{random_between(0, max_gap_ms)}, static_cast<int>(fault_kind::unlist_server));
        add(from + calm_start + milliseconds{random_between(0, static_cast<int>(planned_phase.count()))},
            static_cast<int>(fault_kind::unlist_server));
    }

    static constexpr milliseconds calm_start = fault_phase + milliseconds{max_fault_ms} + stabilization_time;
    static constexpr milliseconds round_length = calm_start + planned_phase;

    std::vector<fault_event> events;

  private:
    int random_between(int minimum, int maximum) {
        return std::uniform_int_distribution{minimum, maximum}(m_random);
    }

    void add(milliseconds at, int kind) {
        events.push_back({at, milliseconds{random_between(100, max_fault_ms)}, static_cast<fault_kind>(kind),
                          random_between(0, m_vms - 1)});
    }

    std::mt19937 m_random;
    int m_vms;
};

} // namespace

std::string to_string(fault_kind kind) {
    return kind_names.at(static_cast<std::size_t>(kind));
}

std::vector<fault_event> make_schedule(std::uint32_t seed, int vms, milliseconds length) {
    generator result{seed, vms};
    generator separate{seed + separate_seed_offset, vms};
    generator deadly{seed + deadly_seed_offset, vms};
    generator refusals{seed + refusal_seed_offset, vms};
    for (milliseconds at{0}; at < length; at += generator::round_length) {
        result.add_round(at);
        separate.add_each(at, first_separate_kind, last_separate_kind);
        deadly.add_each(at, deadly_kind, deadly_kind);
        refusals.add_refusal(at);
    }
    auto& events = result.events;
    events.insert(events.end(), separate.events.begin(), separate.events.end());
    events.insert(events.end(), deadly.events.begin(), deadly.events.end());
    events.insert(events.end(), refusals.events.begin(), refusals.events.end());
    std::erase_if(events, [&](const fault_event& it) { return it.at >= length; });
    std::ranges::stable_sort(events, {}, &fault_event::at);
    return std::move(events);
}

} // namespace cornelpier::soak
