#pragma once

#include "tests/owner/owner_fixture.hpp"
#include "tests/warm_up/start_counter.hpp"

#include <algorithm>
#include <optional>
#include <string>

namespace cornelpier::owner_test {

/// An owner of a service with a warm-up rate. Runs at its server end at once.
class cold_owner : public owner_fixture {
  public:
    static constexpr rate cold_rate{5.3};
    static constexpr std::uint32_t slots = 6;

    explicit cold_owner(std::optional<warm_up_plan> warm_up = warm_up_plan{seconds{3}, cold_rate}) {
        service.measuring = rate{54};
        service.warm_up = warm_up;
        service.slots = slots;
        service.deadline = seconds{5};
        publish();
        advance(duration::zero());
    }

    /// Delivers the server's report.
    /// @param remaining nothing: the report does not mention a warm-up.
    void report(std::optional<duration> remaining, const std::string& instance = "i-1") {
        server_report event;
        event.load = server_load_report{0, 0, slots, 1};
        event.instance = instance;
        event.warm_up_remaining = remaining;
        owner.on_server_report(event);
    }

    /// Makes the server warm and lets the time pass in which a predecessor's runs would count.
    void become_warm() {
        report(duration::zero());
        advance(seconds{5});
        report(duration::zero());
        actions.clear();
    }

    /// Ends all runs that have started.
    /// @return how many there were.
    std::size_t finish_runs() {
        const auto started = take_actions<start_run>();
        for (const auto& it : started) {
            starts.add(timers.now());
            respond(it.run);
        }
        return started.size();
    }

    /// Sends lookups at a constant rate. The server answers reports as `remaining_at_server` says.
    void press(rate calls, duration length) {
        const time_point end = timers.now() + length;
        while (timers.now() < end) {
            receive(lookup(++m_sequence));
            answer_reports();
            while (finish_runs() > 0) {
            }
            advance(from_seconds(1 / calls.per_second));
            answer_reports();
            while (finish_runs() > 0) {
            }
        }
    }

    void answer_reports() {
        if (is_reporting && !take_actions<read_server_report>().empty()) {
            report(std::max(cold_until - timers.now(), duration::zero()));
        }
    }

    std::size_t count(metric kind) {
        const auto all = take_actions<record_metric>();
        return static_cast<std::size_t>(
            std::ranges::count_if(all, [kind](const record_metric& it) { return it.kind == kind; }));
    }

    /// @return the fields of the events of one number, as `name=value` words.
    std::vector<std::string> events(event_number number) {
        std::vector<std::string> result;
        for (const auto& it : take_actions<record_event>()) {
            if (it.record.number == number) {
                std::string& text = result.emplace_back();
                for (const auto& [name, value] : it.record.fields) {
                    text += (text.empty() ? "" : " ") + name + '=' + value;
                }
            }
        }
        return result;
    }

    time_point cold_until;
    bool is_reporting = true;
    start_counter starts;

  private:
    std::uint64_t m_sequence = 10'000;
};

} // namespace cornelpier::owner_test
