#include "tests/soak/fault_schedule.hpp"

#include <algorithm>
#include <array>
#include <random>

namespace cornelpier::soak {

namespace {

using std::chrono::milliseconds;

constexpr std::array<const char*, 21> names{
    "terminate",    "hang_up",     "replace_server", "change_plan", "kill",        "kill_all",
    "pause",        "delay_links", "cut_to",         "cut_from",    "reset_links", "mute_links",
    "cut_store",    "reset_store", "mute_store",     "store_down",  "lapse",       "reset_server",
    "lose_answers", "cut_answers", "slow_server"};

constexpr auto first_disturbance = static_cast<int>(fault_kind::kill);
constexpr auto last_kind = static_cast<int>(fault_kind::slow_server);

/// Lengths of the stretches of a round.
constexpr milliseconds disturbed_time{5000};
constexpr milliseconds planned_time{5000};

/// Longest disturbance, and the longest pause between two.
constexpr int longest_fault_ms = 3500;
constexpr int longest_gap_ms = 700;
constexpr int longest_planned_gap_ms = 1200;

class generator {
  public:
    generator(std::uint32_t seed, int vms) : m_random(seed), m_vms(vms) {}

    void round(milliseconds from) {
        for (auto at = from; at < from + disturbed_time; at += milliseconds{between(50, longest_gap_ms)}) {
            const bool planned = between(0, 3) == 0;
            add(at, planned ? between(0, first_disturbance - 1) : between(first_disturbance, last_kind));
        }
        const auto calm = from + disturbed_time + milliseconds{longest_fault_ms} + stable_time;
        for (auto at = calm; at < calm + planned_time;
             at += milliseconds{between(50, longest_planned_gap_ms)}) {
            add(at, between(0, first_disturbance - 1));
        }
    }

    static constexpr milliseconds round_time =
        disturbed_time + milliseconds{longest_fault_ms} + stable_time + planned_time;

    std::vector<fault_event> events;

  private:
    int between(int least, int most) { return std::uniform_int_distribution{least, most}(m_random); }

    void add(milliseconds at, int kind) {
        events.push_back({at, milliseconds{between(100, longest_fault_ms)}, static_cast<fault_kind>(kind),
                          between(0, m_vms - 1)});
    }

    std::mt19937 m_random;
    int m_vms;
};

} // namespace

std::string to_string(fault_kind kind) {
    return names.at(static_cast<std::size_t>(kind));
}

std::vector<fault_event> make_schedule(std::uint32_t seed, int vms, milliseconds length) {
    generator result{seed, vms};
    for (milliseconds at{0}; at < length; at += generator::round_time) {
        result.round(at);
    }
    std::erase_if(result.events, [&](const fault_event& it) { return it.at >= length; });
    return std::move(result.events);
}

} // namespace cornelpier::soak
