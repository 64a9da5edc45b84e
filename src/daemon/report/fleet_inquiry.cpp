#include "daemon/report/fleet_inquiry.hpp"

#include "cornelpier/plan/plan_parser.hpp"

#include "daemon/net/endpoint.hpp"
#include "daemon/platform/http_get.hpp"

#include <boost/asio/io_context.hpp>

#include <fstream>
#include <functional>
#include <sstream>
#include <utility>

namespace cornelpier {

namespace {

using clock = std::chrono::steady_clock;

/// More connections at a time bring little and may hit the limit of open files.
constexpr std::size_t max_parallel = 64;

struct page_result {
    result<std::string> body = error{"", "not asked"};
    clock::time_point arrived;
};

result<std::string> to_result(const std::string& address, http_get_outcome outcome) {
    if (outcome.status == 0) {
        return error{address, "no complete answer in time"};
    }
    if (outcome.status != 200) {
        return error{address, "answered with status " + std::to_string(outcome.status)};
    }
    return std::move(outcome.body);
}

/// Reads one page from many addresses with a bounded number of connections.
class page_reader {
  public:
    page_reader(std::vector<std::string> addresses, std::string path, std::chrono::milliseconds limit)
        : m_addresses(std::move(addresses)), m_path(std::move(path)), m_limit(limit),
          m_pages(m_addresses.size()) {}

    std::vector<page_result> run() {
        for (std::size_t n = 0; n < max_parallel; ++n) {
            start_next();
        }
        m_context.run();
        return std::move(m_pages);
    }

  private:
    void start_next() {
        while (m_next < m_addresses.size()) {
            const std::size_t n = m_next++;
            const auto address = parse_address(m_addresses[n]);
            if (const auto* parsed = std::get_if<socket_address>(&address)) {
                start(n, *parsed);
                return;
            }
            m_pages[n].body = std::get<error>(address);
        }
    }

    void start(std::size_t n, const socket_address& address) {
        http_get(m_context, {address.tcp(), m_addresses[n], m_path, m_limit, max_page_bytes},
                 [this, n](http_get_outcome outcome) {
                     m_pages[n] = {to_result(m_addresses[n], std::move(outcome)), clock::now()};
                     start_next();
                 });
    }

    boost::asio::io_context m_context{1};
    std::vector<std::string> m_addresses;
    std::string m_path;
    std::chrono::milliseconds m_limit;
    std::vector<page_result> m_pages;
    std::size_t m_next = 0;
};

std::vector<page_result> read_all(const plan& of, const std::string& path, std::chrono::milliseconds limit) {
    std::vector<std::string> addresses;
    for (const auto& service : of.services) {
        for (const auto& target : service.targets) {
            addresses.push_back(target.operator_address.value_or(""));
        }
    }
    return page_reader{std::move(addresses), path, limit}.run();
}

node_inquiry make_inquiry(const service_plan& service, const target_plan& target, const page_result& page,
                          clock::time_point now) {
    node_inquiry inquiry{target.id, service.id, target.data_centre, std::nullopt, {}, ""};
    if (!target.operator_address) {
        inquiry.failure = "the plan names no operators' port";
        return inquiry;
    }
    if (const auto* problem = std::get_if<error>(&page.body)) {
        inquiry.failure = problem->reason;
        return inquiry;
    }

    auto report = parse_node_report(std::get<std::string>(page.body));
    if (const auto* problem = std::get_if<error>(&report)) {
        inquiry.failure = problem->reason;
        return inquiry;
    }
    inquiry.answer = std::get<node_report>(std::move(report));
    if (inquiry.answer->node != target.id) {
        inquiry.failure = "the address belongs to " + inquiry.answer->node.value();
        inquiry.answer.reset();
        return inquiry;
    }
    inquiry.answer_age = std::chrono::duration_cast<duration>(now - page.arrived);
    return inquiry;
}

} // namespace

result<std::string> read_page(const std::string& address, const std::string& path,
                              std::chrono::milliseconds limit) {
    return std::move(page_reader{{address}, path, limit}.run().front().body);
}

std::vector<result<std::string>> read_pages(const plan& of, const std::string& path,
                                            std::chrono::milliseconds limit) {
    std::vector<result<std::string>> bodies;
    for (auto& it : read_all(of, path, limit)) {
        bodies.push_back(std::move(it.body));
    }
    return bodies;
}

std::vector<node_inquiry> ask_fleet(const plan& of, std::chrono::milliseconds limit) {
    const auto pages = read_all(of, "/state", limit);
    const auto now = clock::now();

    std::vector<node_inquiry> inquiries;
    for (const auto& service : of.services) {
        for (const auto& target : service.targets) {
            inquiries.push_back(make_inquiry(service, target, pages[inquiries.size()], now));
        }
    }
    return inquiries;
}

result<plan> find_plan(const std::string& file, const std::string& address, std::chrono::milliseconds limit) {
    std::string sheet;
    if (!file.empty()) {
        std::ifstream stream{file, std::ios::binary};
        if (!stream) {
            return error{file, "cannot be read"};
        }
        std::ostringstream text;
        text << stream.rdbuf();
        sheet = text.str();
    } else {
        auto page = read_page(address, "/plan", limit);
        if (const auto* problem = std::get_if<error>(&page)) {
            return *problem;
        }
        sheet = std::get<std::string>(std::move(page));
    }

    auto parsed = parse_plan(sheet);
    if (const auto* mistakes = std::get_if<std::vector<error>>(&parsed)) {
        return mistakes->front();
    }
    return std::get<plan>(std::move(parsed));
}

} // namespace cornelpier
