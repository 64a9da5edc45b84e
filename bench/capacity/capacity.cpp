/// Measures CPU time, memory and traffic per node, target and call. docs/CAPACITY.md is derived from them.

#include "cornelpier/routing/subset.hpp"

#include "bench/capacity/heap.hpp"
#include "bench/capacity/traffic_harness.hpp"
#include "daemon/report/fleet_report.hpp"
#include "daemon/report/node_report.hpp"
#include "tests/node/control_fleet.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <vector>

namespace {

using namespace cornelpier;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::cpu_microseconds;
using testing::heap_in_use;

std::string load_average() {
    std::ifstream file("/proc/loadavg");
    std::string text;
    file >> text;
    return text;
}

/// Extends `fleet_sheet` with a rule for idempotent lookups and a budget for probes.
std::shared_ptr<const plan> make_plan(std::size_t targets) {
    std::string sheet = fleet_sheet(1, targets);
    const std::string slots = R"("slots": 10, )";
    const std::string added =
        R"("tail_weight": 0.9, "measuring_per_second": 20, "rules": [)"
        R"({"method": "GET", "path_prefix": "/", "idempotent": true, "class": "urgent_lookup"}], )";
    for (auto at = sheet.find(slots); at != std::string::npos; at = sheet.find(slots, at + 1)) {
        sheet.insert(at, added);
        at += added.size();
    }
    return std::make_shared<const plan>(std::get<plan>(parse_plan(sheet)));
}

void measure_control(std::size_t count) {
    const auto empty = heap_in_use();
    control_fleet fleet;
    fleet.use_codec = true;
    for (std::size_t n = 0; n < count; ++n) {
        fleet.vms.emplace_back("vm-" + std::to_string(n), vm_state::live);
    }
    fleet.serve(1, fleet_sheet(1, count));
    fleet.start_all(count);
    const auto time_in_force = fleet.run_until([&] { return fleet.in_force(1); }, seconds{30});
    fleet.run_for(seconds{6});
    const auto memory = (heap_in_use() - empty) / count;
    const auto peak_datagrams =
        std::ranges::max_element(fleet.nodes, {}, &control_fleet::node::datagrams)->datagrams;

    const int duration_s = count > 500 ? 5 : 20;
    const double per_node_second = 1.0 / static_cast<double>(count) / duration_s;
    fleet.reads = fleet.gossip_bytes = fleet.gossip_count = 0;
    const double begin = cpu_microseconds();
    fleet.run_for(seconds{duration_s});
    const double cpu = cpu_microseconds() - begin;
    const double reads = static_cast<double>(fleet.reads) / duration_s;
    std::printf("control nodes=%zu sent=%.0f B/s datagrams=%.2f/s cpu=%.1f us/s memory=%zu B reads=%.2f/s "
                "cold_start=%.2f s busiest_node_in_first_7_s=%zu datagrams load=%s\n",
                count, static_cast<double>(fleet.gossip_bytes) * per_node_second,
                static_cast<double>(fleet.gossip_count) * per_node_second, cpu * per_node_second, memory,
                reads, time_in_force ? to_seconds(*time_in_force) : -1.0, peak_datagrams,
                load_average().c_str());

    fleet.plan_bytes = fleet.gossip_bytes = 0;
    const double before = cpu_microseconds();
    fleet.serve(2, fleet_sheet(2, count));
    const auto spread = fleet.run_until([&] { return fleet.in_force(2); }, seconds{30});
    std::printf("spread nodes=%zu sheet=%zu B in_force=%.2f s sheets=%.2f per node cpu=%.1f us per node "
                "load=%s\n",
                count, fleet.served.size(), spread ? to_seconds(*spread) : -1.0,
                static_cast<double>(fleet.plan_bytes) / static_cast<double>(fleet.served.size() * count),
                (cpu_microseconds() - before) / static_cast<double>(count), load_average().c_str());
}

void measure_plan(std::size_t targets) {
    const auto sheet = fleet_sheet(1, targets);
    const auto before = heap_in_use();
    const double begin = cpu_microseconds();
    const auto parsed = parse_plan(sheet);
    const double cpu = cpu_microseconds() - begin;
    const auto memory = heap_in_use() - before;
    const auto& current = std::get<plan>(parsed);

    const double subset_begin = cpu_microseconds();
    const auto entries = subset_entries(current);
    const double entries_cpu = cpu_microseconds() - subset_begin;
    std::size_t chosen = 0;
    for (const auto& it : current.services) {
        chosen += choose_subset(it, entries, entries.front().id, entries.front().data_centre).size();
    }
    std::printf("plan targets=%zu sheet=%zu B parse=%.0f us memory=%zu B entries=%.0f us subsets=%.0f us "
                "services=%zu chosen=%zu load=%s\n",
                targets, sheet.size(), cpu, memory, entries_cpu,
                cpu_microseconds() - subset_begin - entries_cpu, current.services.size(), chosen,
                load_average().c_str());
}

void measure_calls(std::size_t targets, const char* kind, bool idempotent, bool key) {
    testing::traffic_harness harness(make_plan(targets));
    // A new owner cannot prove that an idempotency key is unused until the key memory of 120 s has passed.
    harness.advance_time(seconds{key ? 121 : 1});
    for (int n = 0; n < 500; ++n) {
        harness.call(idempotent, key);
    }
    harness.entry_cpu_us = harness.owner_cpu_us = 0;
    harness.answers = harness.messages = harness.bytes = harness.probes = 0;
    const auto records = harness.ledger_records();
    const auto before = heap_in_use();
    constexpr int calls = 4000;
    for (int n = 0; n < calls; ++n) {
        harness.call(idempotent, key);
    }
    std::printf("calls targets=%zu kind=%s answered=%zu entry=%.2f us owner=%.2f us messages=%.2f bytes=%.0f "
                "per call; heap=%.0f B per call, records=%zu, links=%zu probes=%zu load=%s\n",
                targets, kind, harness.answers, harness.entry_cpu_us / calls, harness.owner_cpu_us / calls,
                static_cast<double>(harness.messages) / calls, static_cast<double>(harness.bytes) / calls,
                (static_cast<double>(heap_in_use()) - static_cast<double>(before)) / calls,
                harness.ledger_records() - records, harness.entry().open_links, harness.probes,
                load_average().c_str());
}

/// Sends a call every 0.9 s, because an entry probes the other targets only while it has traffic.
void measure_probes() {
    testing::traffic_harness harness(make_plan(20));
    harness.advance_time(seconds{1});
    harness.call(true, false);
    harness.advance_time(seconds{2});
    harness.entry_cpu_us = harness.owner_cpu_us = 0;
    harness.messages = harness.bytes = harness.probes = 0;
    for (int n = 0; n < 60; ++n) {
        harness.call(true, false);
        harness.advance_time(milliseconds{900});
    }
    const auto probes = static_cast<double>(harness.probes);
    std::printf(
        "probes targets=20 count=%.0f in 54 s; with 60 calls and timers entry=%.1f us owners=%.1f us per "
        "probe messages=%zu bytes=%zu load=%s\n",
        probes, harness.entry_cpu_us / probes, harness.owner_cpu_us / probes, harness.messages, harness.bytes,
        load_average().c_str());
}

void measure_calls_in_progress() {
    testing::traffic_harness harness(make_plan(960));
    harness.advance_time(seconds{1});
    harness.call(true, false);
    const auto before = heap_in_use();
    constexpr int calls = 200;
    for (int n = 0; n < calls; ++n) {
        harness.start_call(true, false);
    }
    std::printf("in_progress calls=%zu heap=%.0f B per call at entry, owner and test load=%s\n",
                harness.entry().calls_in_progress,
                (static_cast<double>(heap_in_use()) - static_cast<double>(before)) / calls,
                load_average().c_str());
}

void measure_core_memory() {
    const auto sheet = make_plan(960);
    auto view = std::make_shared<fleet_view>();
    view->current_plan = sheet;
    const auto& target = sheet->services.front().targets.front();
    const auto before = heap_in_use();
    traffic_core core(
        {target.id, incarnation{1}, target.vm, target.data_centre, sheet->services.front().id, {}}, 1,
        time_point{seconds{1000}});
    traffic_actions actions;
    const double begin = cpu_microseconds();
    core.handle(fleet_changed{view}, time_point{seconds{1000}}, actions);
    std::printf("traffic_core targets=960 memory=%zu B new_view=%.0f us load=%s\n", heap_in_use() - before,
                cpu_microseconds() - begin, load_average().c_str());
}

node_report make_node_report(std::size_t own, std::size_t count) {
    node_report result;
    result.node = target_id{control_fleet::name(own)};
    result.state = "serving";
    result.plan_version = 1;
    result.plan_hash = "1";
    for (std::size_t n = 0; n < count; ++n) {
        result.members.push_back({target_id{control_fleet::name(n)}, "serving", "live",
                                  milliseconds{(n * 37 + own * 11) % 9000}, seconds{2}});
    }
    return result;
}

/// Builds and parses the /state pages of all nodes and builds the fleet report as cornelpier-report does.
void measure_report(std::size_t count) {
    const auto before = heap_in_use();
    std::vector<node_query_result> query_results;
    double page_build_us = 0;
    double page_parse_us = 0;
    std::size_t page_size = 0;
    for (std::size_t n = 0; n < count; ++n) {
        const auto own = make_node_report(n, count);
        const double begin = cpu_microseconds();
        const auto page = to_json(own);
        const double middle = cpu_microseconds();
        auto answer = std::get<node_report>(parse_node_report(page));
        page_build_us += middle - begin;
        page_parse_us += cpu_microseconds() - middle;
        page_size = page.size();
        query_results.push_back({own.node,
                                 service_id{"service-" + std::to_string(n / 20)},
                                 data_centre_id{"dc-" + std::to_string(n % 5)},
                                 std::move(answer),
                                 {},
                                 ""});
    }
    const double begin = cpu_microseconds();
    const auto report = make_fleet_report(query_results, "");
    const double cpu = cpu_microseconds() - begin;
    std::printf(
        "report nodes=%zu page=%zu B make_page=%.0f us parse_page=%.0f us report=%.1f ms memory=%zu B "
        "answered=%zu load=%s\n",
        count, page_size, page_build_us / static_cast<double>(count),
        page_parse_us / static_cast<double>(count), cpu / 1000, heap_in_use() - before,
        static_cast<std::size_t>(report.fleet.answered), load_average().c_str());
}

void measure_reports() {
    for (const std::size_t it : {10U, 100U, 300U, 960U}) {
        measure_report(it);
    }
}

std::size_t resident_kib(const std::string& pid) {
    std::ifstream file("/proc/" + pid + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with("VmRSS:")) {
            return std::stoul(line.substr(6));
        }
    }
    return 0;
}

bool open_websocket(tcp::socket& link, std::uint16_t port) {
    const std::string request =
        "GET / HTTP/1.1\r\nHost: 127.0.0.1\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
        "Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
    std::string answer(1024, '\0');
    boost::system::error_code ec;
    link.connect({boost::asio::ip::address_v4::loopback(), port}, ec);
    if (!ec) {
        boost::asio::write(link, boost::asio::buffer(request), ec);
    }
    if (!ec) {
        link.read_some(boost::asio::buffer(answer), ec);
    }
    return !ec && answer.starts_with("HTTP/1.1 101");
}

/// Opens links to a running node and measures the growth of its resident memory.
void measure_links(std::uint16_t port, const std::string& pid, int count) {
    const auto before = resident_kib(pid);
    int open = 0;
    boost::asio::io_context context;
    std::vector<tcp::socket> links;
    for (int n = 0; n < count; ++n) {
        open += open_websocket(links.emplace_back(context), port) ? 1 : 0;
    }
    const auto after = resident_kib(pid);
    std::printf("links open=%d of %d rss %zu -> %zu KiB, %.1f KiB per accepted link load=%s\n", open, count,
                before, after, (static_cast<double>(after) - static_cast<double>(before)) / std::max(open, 1),
                load_average().c_str());
}

} // namespace

int main(int argc, char** argv) {
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    if (argc == 4) { // PORT PID COUNT
        measure_links(static_cast<std::uint16_t>(std::stoul(argv[1])), argv[2], std::stoi(argv[3]));
        return EXIT_SUCCESS;
    }
    measure_reports();
    if (argc > 1) {
        return EXIT_SUCCESS; // Any other argument limits the run to the reports.
    }
    for (const std::size_t it : {10U, 100U, 300U, 960U}) {
        measure_plan(it);
    }
    measure_core_memory();
    for (const std::size_t it : {20U, 960U}) {
        measure_calls(it, "lookup", true, false);
    }
    measure_calls(960, "order", false, false);
    measure_calls(960, "order_with_key", false, true);
    measure_probes();
    measure_calls_in_progress();
    for (const std::size_t it : {10U, 100U, 300U, 960U}) {
        measure_control(it);
    }
    return EXIT_SUCCESS;
}
