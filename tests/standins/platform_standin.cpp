/// Stand-in for the platform's configuration service and VM list. Requests below `/control` take it down,
/// make it serve the previous sheet, publish a sheet or change the state of a VM.

#include "http_service.hpp"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <fstream>
#include <iostream>
#include <list>
#include <map>
#include <sstream>

namespace cornelpier::standins {

namespace asio = boost::asio;
using nlohmann::json;

class platform_standin {
  public:
    platform_standin(asio::io_context& context, const std::string& address, std::string sheet)
        : m_context(context), m_service(context, address, [this](const auto& it) { on_request(it); }) {
        m_sheets.push_back(std::move(sheet));
        const json plan = json::parse(m_sheets.back());
        for (const auto& service : plan.at("services")) {
            for (const auto& target : service.at("targets")) {
                m_vms[target.at("vm").get<std::string>()] = "live";
            }
        }
    }

  private:
    using exchange = std::shared_ptr<http_exchange>;

    struct watch {
        exchange request;
        std::uint64_t newer_than;
        std::unique_ptr<asio::steady_timer> timeout;
    };

    void on_request(const exchange& it) {
        const std::string target{it->request().target()};
        if (target.starts_with("/control")) {
            on_control(it, target);
            return;
        }

        ++m_read_count;
        if (m_down) {
            it->abort();
            return;
        }
        if (target.starts_with("/plan")) {
            on_plan(it, target);
            return;
        }
        if (target.starts_with("/vms")) {
            it->respond(200, vm_list().dump());
            return;
        }
        it->respond(404, "{}");
    }

    void on_plan(const exchange& it, const std::string& target) {
        const std::string newer_than = query_value(target, "newer_than");
        if (newer_than.empty() || std::stoull(newer_than) != served_version()) {
            it->respond(200, served_sheet());
            return;
        }

        const auto wait = std::chrono::seconds{std::stoi(query_value(target, "wait_s", "30"))};
        auto& new_watch = m_watches.emplace_back(
            watch{it, std::stoull(newer_than), std::make_unique<asio::steady_timer>(m_context, wait)});
        const auto position = std::prev(m_watches.end());
        new_watch.request->on_peer_closed = [this, position] { m_watches.erase(position); };
        new_watch.timeout->async_wait([this, position](boost::system::error_code ec) {
            if (!ec) {
                position->request->respond(304, "");
                m_watches.erase(position);
            }
        });
    }

    /// `/control?down=0|1`, `/control?stale=0|1` (serve the previous sheet),
    /// `/control?vm=ID&state=live|leaving`, `POST /control/plan` with a sheet, `/control/reads`.
    void on_control(const exchange& it, const std::string& target) {
        if (target.starts_with("/control/plan")) {
            m_sheets.push_back(it->request().body());
        } else if (target.starts_with("/control/reads")) {
            it->respond(200, json{{"reads", m_read_count}, {"watches", m_watches.size()}}.dump());
            return;
        }
        m_down = query_value(target, "down", m_down ? "1" : "0") == "1";
        m_stale = query_value(target, "stale", m_stale ? "1" : "0") == "1";
        if (const auto vm = query_value(target, "vm"); !vm.empty()) {
            m_vms[vm] = query_value(target, "state", "live");
        }
        it->respond(200, "{}");
        notify_watches();
    }

    void notify_watches() {
        for (auto it = m_watches.begin(); it != m_watches.end();) {
            if (m_down) {
                it->request->abort();
            } else if (it->newer_than != served_version()) {
                it->request->respond(200, served_sheet());
            } else {
                ++it;
                continue;
            }
            it = m_watches.erase(it);
        }
    }

    [[nodiscard]] const std::string& served_sheet() const {
        const bool older = m_stale && m_sheets.size() > 1;
        return older ? m_sheets[m_sheets.size() - 2] : m_sheets.back();
    }

    [[nodiscard]] std::uint64_t served_version() const {
        const json sheet = json::parse(served_sheet(), nullptr, false);
        return sheet.is_object() ? sheet.value("version", std::uint64_t{0}) : 0;
    }

    [[nodiscard]] json vm_list() const {
        json vms = json::array();
        for (const auto& [id, state] : m_vms) {
            vms.push_back({{"id", id}, {"state", state}});
        }
        return {{"vms", vms}};
    }

    asio::io_context& m_context;
    http_service m_service;
    std::deque<std::string> m_sheets;
    std::map<std::string, std::string> m_vms;
    std::list<watch> m_watches;
    std::uint64_t m_read_count = 0;
    bool m_down = false;
    bool m_stale = false;
};

} // namespace cornelpier::standins

int main(int argc, char** argv) {
    CLI::App app{"Stand-in for the configuration service and the VM list"};
    std::string address;
    std::string plan_file;
    app.add_option("--listen", address, "IP:port")->required();
    app.add_option("--plan", plan_file, "plan sheet to serve")->required();
    CLI11_PARSE(app, argc, argv);

    std::ifstream file{plan_file};
    std::ostringstream sheet;
    sheet << file.rdbuf();

    try {
        boost::asio::io_context context;
        const cornelpier::standins::platform_standin platform{context, address, sheet.str()};
        cornelpier::standins::run_until_signal(context);
    } catch (const std::exception& error) {
        std::cerr << "platform stand-in: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
