#include "daemon/report/fleet_query.hpp"

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

/// More concurrent connections gain little and could exceed the limit of open files.
constexpr std::size_t max_concurrent_requests = 64;

struct page_result {
    result<std::string> body = error{"", "not queried"};
    clock::time_point received_at;
};

result<std::string> to_result(const std::string& address, http_get_outcome outcome) {
    if (outcome.status == 0) {
        return error{address, "no complete response within the time limit"};
    }
    if (outcome.status != 200) {
        return error{address, "responded with status " + std::to_string(outcome.status)};
    }
    return std::move(outcome.body);
}

/// Fetches one page from many addresses with a bounded number of concurrent connections.
class page_fetcher {
  public:
    page_fetcher(std::vector<std::string> addresses, std::string path, std::chrono::milliseconds limit)
        : m_addresses(std::move(addresses)), m_path(std::move(path)), m_limit(limit),
          m_pages(m_addresses.size()) {}

    std::vector<page_result> run() {
        for (std::size_t n = 0; n < max_concurrent_requests; ++n) {
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

std::vector<page_result> fetch_from_all(const plan& fleet_plan, const std::string& path,
                                        std::chrono::milliseconds limit) {
    std::vector<std::string> addresses;
    for (const auto& service : fleet_plan.services) {
        for (const auto& target : service.targets) {
            addresses.push_back(target.operator_address.value_or(""));
        }
    }
    return page_fetcher{std::move(addresses), path, limit}.run();
}

node_query_result make_query_result(const service_plan& service, const target_plan& target,
                                    const page_result& page, clock::time_point now) {
    node_query_result query_result{target.id, service.id, target.data_centre, std::nullopt, {}, ""};
    if (!target.operator_address) {
        query_result.failure = "the plan has no operator address for this node";
        return query_result;
    }
    if (const auto* problem = std::get_if<error>(&page.body)) {
        query_result.failure = problem->reason;
        return query_result;
    }

    auto report = parse_node_report(std::get<std::string>(page.body));
    if (const auto* problem = std::get_if<error>(&report)) {
        query_result.failure = problem->reason;
        return query_result;
    }
    query_result.answer = std::get<node_report>(std::move(report));
    if (query_result.answer->node != target.id) {
        query_result.failure = "the address belongs to node " + query_result.answer->node.value();
        query_result.answer.reset();
        return query_result;
    }
    query_result.answer_age = std::chrono::duration_cast<duration>(now - page.received_at);
    return query_result;
}

} // namespace

result<std::string> fetch_page(const std::string& address, const std::string& path,
                               std::chrono::milliseconds limit) {
    return std::move(page_fetcher{{address}, path, limit}.run().front().body);
}

std::vector<result<std::string>> fetch_pages(const plan& fleet_plan, const std::string& path,
                                             std::chrono::milliseconds limit) {
    std::vector<result<std::string>> bodies;
    for (auto& it : fetch_from_all(fleet_plan, path, limit)) {
        bodies.push_back(std::move(it.body));
    }
    return bodies;
}

std::vector<node_query_result> query_fleet(const plan& fleet_plan, std::chrono::milliseconds limit) {
    const auto pages = fetch_from_all(fleet_plan, "/state", limit);
    const auto now = clock::now();

    std::vector<node_query_result> query_results;
    for (const auto& service : fleet_plan.services) {
        for (const auto& target : service.targets) {
            query_results.push_back(make_query_result(service, target, pages[query_results.size()], now));
        }
    }
    return query_results;
}

result<plan> load_plan(const std::string& file, const std::string& address, std::chrono::milliseconds limit) {
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
        auto page = fetch_page(address, "/plan", limit);
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
