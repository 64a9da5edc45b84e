#include "daemon/platform/platform_reader.hpp"

#include "cornelpier/validation/json_validator.hpp"

#include "daemon/net/endpoint.hpp"
#include "daemon/platform/http_get.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace cornelpier {

namespace {

/// For a watch this is added to its wait; without a response by then the connection counts as broken.
constexpr std::chrono::seconds read_timeout{5};

/// Larger than the largest valid plan sheet, so that the core can report one that is too large.
constexpr std::size_t max_configuration_bytes = std::size_t{4} * 1024 * 1024;
constexpr std::size_t max_vm_list_bytes = std::size_t{1} * 1024 * 1024;
constexpr int status_ok = 200;
constexpr int status_not_modified = 304;

std::string watch_query_path(const std::string& path, std::uint64_t version, std::chrono::seconds wait) {
    const char separator = path.find('?') == std::string::npos ? '?' : '&';
    return path + separator + "newer_than=" + std::to_string(version) +
           "&wait_s=" + std::to_string(wait.count());
}

control_event plan_event(http_get_outcome outcome) {
    if (outcome.status == status_ok) {
        return plan_read{std::move(outcome.body)};
    }
    if (outcome.status == status_not_modified) {
        return plan_unchanged{};
    }
    return plan_read_failed{};
}

/// @return false if the item is not a valid VM entry.
bool read_vm(const nlohmann::json& item, std::pair<vm_id, vm_state>& vm) {
    if (!item.is_object()) {
        return false;
    }
    const auto id = item.find("id");
    const auto state = item.find("state");
    if (id == item.end() || state == item.end() || !id->is_string() || !state->is_string()) {
        return false;
    }

    vm.first = vm_id{id->get<std::string>()};
    const auto text = state->get<std::string>();
    vm.second = text == "leaving" ? vm_state::leaving : vm_state::live;
    return text == "live" || text == "leaving";
}

} // namespace

control_event parse_vm_list(const std::string& text) {
    const auto list = read_json(text);
    if (!list.is_object() || !list.contains("vms") || !list["vms"].is_array()) {
        return vm_list_read_failed{};
    }

    vm_list_read result;
    for (const auto& it : list["vms"]) {
        if (!read_vm(it, result.vms.emplace_back())) {
            return vm_list_read_failed{};
        }
    }
    return result;
}

/// Builds the requests and converts their outcomes to control events.
class platform_reader::implementation {
  public:
    implementation(boost::asio::io_context& context, platform_endpoints endpoints, handler on_event)
        : m_context(context), m_endpoints(std::move(endpoints)), m_on_event(std::move(on_event)) {}

    void read_plan(const cornelpier::read_plan& action) {
        const auto wait = std::chrono::duration_cast<std::chrono::seconds>(action.wait);
        const auto& path = m_endpoints.configuration_path;
        http_get_request request =
            make_request(m_endpoints.configuration_address,
                         action.newer_than ? watch_query_path(path, *action.newer_than, wait) : path);
        request.timeout = action.newer_than ? read_timeout + wait : read_timeout;
        request.max_body_bytes = max_configuration_bytes;
        http_get(m_context, std::move(request),
                 [this](http_get_outcome outcome) { m_on_event(plan_event(std::move(outcome))); });
    }

    void read_vm_list() {
        http_get_request request = make_request(m_endpoints.vm_list_address, m_endpoints.vm_list_path);
        request.timeout = read_timeout;
        request.max_body_bytes = max_vm_list_bytes;
        http_get(m_context, std::move(request), [this](const http_get_outcome& outcome) {
            m_on_event(outcome.status == status_ok ? parse_vm_list(outcome.body) : vm_list_read_failed{});
        });
    }

  private:
    static http_get_request make_request(const std::string& address, std::string path) {
        return {std::get<socket_address>(parse_address(address)).tcp(), address, std::move(path)};
    }

    boost::asio::io_context& m_context;
    platform_endpoints m_endpoints;
    handler m_on_event;
};

platform_reader::platform_reader(boost::asio::io_context& context, platform_endpoints endpoints,
                                 handler on_event)
    : m_implementation(std::make_unique<implementation>(context, std::move(endpoints), std::move(on_event))) {
}

platform_reader::~platform_reader() = default;

void platform_reader::read_plan(const cornelpier::read_plan& action) {
    m_implementation->read_plan(action);
}

void platform_reader::read_vm_list() {
    m_implementation->read_vm_list();
}

} // namespace cornelpier
