#include "../support/rig.hpp"

#include <set>

// The store refuses the node that reads it for the others, for three seconds. As it serves that node again, a
// target leaves: its entry is removed and it goes on serving. Counts the requests that the other nodes hand
// to that target more than `drain` after the removal.

using namespace rig;

namespace {

constexpr int machine_count = 30;
constexpr std::size_t leaving_per_trial = 4;
constexpr int trial_count = 7;
constexpr std::int64_t drain_ms = 2000;
constexpr std::int64_t tolerance_ms = 30;
constexpr auto refusal_time = 3s;

struct arrival {
    std::size_t target = 0;
    std::size_t entry = 0;
    std::int64_t at_ms = 0;
    string id;
};

std::mutex arrival_mutex;
std::vector<arrival> arrivals;
std::map<string, std::size_t> entry_of;

} // namespace

int main() {
    signal(SIGPIPE, SIG_IGN);
    now_ms();
    const char* trouble_text = std::getenv("TROUBLE");
    const bool trouble = trouble_text == nullptr || string{trouble_text} != "0";
    record_file record("review/2/record.txt");

    const string network = "127." + std::to_string(getpid() % 200 + 20) + ".2.";
    std::vector<machine> machines;
    std::vector<string> ips;
    const char* const zones[] = {"z-a", "z-b", "z-c"};
    for (int i = 0; i < machine_count; ++i) {
        machines.push_back({network + std::to_string(i + 2), zones[i % 3], "bins", "i-" + std::to_string(i)});
        ips.push_back(machines.back().ip);
    }
    const ports all = free_ports(ips);
    const int store_port = all.node + 2;
    store platform(ips, store_port);
    platform.put("op/config", manifest(3,
                                       {{"/look/", "safe", "bins", "1500ms", "600ms", 2},
                                        {"/order/", "unsafe", "bins", "1500ms", "800ms", 2}},
                                       {"bins"}));

    std::vector<std::unique_ptr<target>> targets;
    for (std::size_t i = 0; i < machines.size(); ++i) {
        const auto serve = [i, &record](target& it, int fd, const message& request) {
            const string id = request.field("x-attempt-id");
            {
                const std::lock_guard lock(arrival_mutex);
                arrivals.push_back({i, entry_of[id], now_ms(), id});
            }
            record.line(it.place().instance + " runs " + id);
            ++it.running;
            std::this_thread::sleep_for(20ms);
            --it.running;
            it.respond(fd, request, 200, "ok", "X-Response-Seal: s-" + id + "\r\n");
        };
        targets.push_back(std::make_unique<target>(machines[i], all.target, serve));
        platform.put("servers/" + machines[i].instance, target_entry(machines[i], all.target, "ready", 1));
    }
    const string directory = work_directory();
    std::vector<std::unique_ptr<node>> nodes;
    for (const auto& it : machines) {
        nodes.push_back(std::make_unique<node>(it, all, it.ip + ':' + std::to_string(store_port), directory));
    }
    const auto until = clock::now() + 15s;
    for (auto& it : nodes) {
        while (!is_ready(*it, all)) {
            if (clock::now() > until || it->has_ended()) {
                record.line("a node is not ready");
                return 2;
            }
            std::this_thread::sleep_for(20ms);
        }
    }

    // Each machine's clients send about 20 requests a second, a fifth of them orders.
    std::atomic<bool> stop{false};
    std::atomic<long> last_id{0};
    std::atomic<long> answered{0};
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < machines.size(); ++i) {
        clients.emplace_back([&, i] {
            while (!stop) {
                const long number = ++last_id;
                const bool is_order = number % 5 == 0;
                const string id = (is_order ? "order-" : "look-") + std::to_string(number);
                record.line("client sends " + id + " to " + machines[i].ip);
                {
                    const std::lock_guard lock(arrival_mutex);
                    entry_of[id] = i;
                }
                const auto seen =
                    call(machines[i].ip, all.outbound,
                         request_text(is_order ? "POST" : "GET", is_order ? "/order/1" : "/look/1", id, 1500,
                                      is_order ? "crate" : ""),
                         2s);
                answered += seen.whole ? 1 : 0;
                record.line("client got " + std::to_string(seen.whole ? seen.response.status() : 0) +
                            " for " + id);
                std::this_thread::sleep_for(25ms);
            }
        });
    }

    const auto find_reader = [&] {
        std::vector<int> before;
        for (std::size_t i = 0; i < machines.size(); ++i) {
            before.push_back(platform.calls(i));
        }
        std::this_thread::sleep_for(2500ms);
        std::size_t reader = 0;
        int most = 0;
        for (std::size_t i = 0; i < machines.size(); ++i) {
            if (const int calls = platform.calls(i) - before[i]; calls > most) {
                most = calls;
                reader = i;
            }
        }
        return reader;
    };

    std::size_t late = 0;
    std::set<std::size_t> gone;
    std::this_thread::sleep_for(2s);
    for (int trial = 0; trial < trial_count && late == 0; ++trial) {
        const std::size_t reader = find_reader();
        std::vector<std::size_t> leaving;
        for (std::size_t i = 0; leaving.size() < leaving_per_trial; ++i) {
            if (i != reader && gone.insert(i).second) {
                leaving.push_back(i);
            }
        }
        if (trouble) {
            record.line("the store refuses " + machines[reader].ip);
            platform.refuse(reader, true);
        }
        std::this_thread::sleep_for(refusal_time);
        platform.refuse(reader, false);
        record.line("the store serves " + machines[reader].ip + " again");
        std::map<std::size_t, std::int64_t> removed_at;
        for (const std::size_t it : leaving) {
            platform.remove("servers/" + machines[it].instance);
            removed_at[it] = now_ms();
            record.line("the entry of " + machines[it].instance + " is removed");
            std::this_thread::sleep_for(150ms);
        }
        std::this_thread::sleep_for(4s);

        const std::lock_guard lock(arrival_mutex);
        std::int64_t last = 0;
        for (const auto& it : arrivals) {
            const auto removal = removed_at.find(it.target);
            if (removal == removed_at.end() || it.entry == reader || it.at_ms < removal->second) {
                continue;
            }
            const std::int64_t after = it.at_ms - removal->second;
            last = std::max(last, after);
            if (after > drain_ms + tolerance_ms) {
                ++late;
                record.line(it.id + " from " + machines[it.entry].ip + " reached " +
                            machines[it.target].instance + " " + std::to_string(after) +
                            " ms after the removal");
            }
        }
        const string text = "trial " + std::to_string(trial + 1) +
                            ": last request at a target that has left " + std::to_string(last) +
                            " ms after the removal of its entry";
        record.line(text);
        std::printf("%s\n", text.c_str());
    }
    stop = true;
    for (auto& it : clients) {
        it.join();
    }
    const string text = std::to_string(answered) + " answers, " + std::to_string(late) + " late requests";
    record.line(text);
    std::printf("%s\n", text.c_str());
    nodes.clear();
    std::filesystem::remove_all(directory);
    std::fflush(stdout);
    record.flush();
    _exit(late > 0 ? 1 : 0);
}
