#include "tests/platform/support/source_node.hpp"

#include "tests/platform/support/source_documents.hpp"

#include <stdexcept>
#include <utility>

namespace cornelpier::test {

namespace {

platform::platform_settings settings_for(const std::string& address, const std::string& store,
                                         std::chrono::milliseconds limit) {
    platform::platform_settings settings;
    settings.store_address = store;
    settings.node_port = source_node_port;
    settings.node_address = endpoint(address, source_node_port);
    settings.propagation_limit = limit;
    settings.regions = {{test_data_centre, ""}, {spare_data_centre, ""}};
    return settings;
}

void ignore_event(const event_record& /*record*/) {}

} // namespace

source_node::source_node(boost::asio::io_context& context, const std::string& address,
                         const std::string& store, std::chrono::milliseconds limit)
    : m_identity{target_id{address},
                 incarnation{1},
                 vm_id{address},
                 data_centre_id{test_data_centre},
                 service_id{source_service},
                 {}},
      m_node_address(endpoint(address, source_node_port)),
      m_links(context, {[](link_id) {}, [](link_id) {}, [](link_id, const traffic_message&) {},
                        [this](control_message it) { m_source.on_message(std::move(it)); }, ignore_event}),
      m_source({context, m_identity, m_links, [this](const event_record& it) { record(it); },
                [this](shared_fleet_view it) {
                    const std::lock_guard lock(m_mutex);
                    m_view = std::move(it);
                }},
               settings_for(address, store, limit)) {}

void source_node::start() {
    if (!m_links.bind(m_node_address).reason.empty() || !m_source.bind().reason.empty()) {
        throw std::runtime_error("cannot bind " + m_node_address);
    }
    m_links.start();
    m_source.start();
}

void source_node::stop() {
    m_source.stop();
    m_links.stop();
}

vm_state source_node::state_of(const std::string& vm) const {
    const std::lock_guard lock(m_mutex);
    if (!m_view) {
        return vm_state::unlisted;
    }
    const auto it = m_view->vm_states.find(target_id{vm});
    return it == m_view->vm_states.end() ? vm_state::unlisted : it->second;
}

std::uint64_t source_node::plan_version() const {
    const std::lock_guard lock(m_mutex);
    return m_view ? m_view->current_plan->version : 0;
}

std::vector<std::string> source_node::evacuated() const {
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> result;
    if (m_view) {
        for (const auto& it : m_view->current_plan->evacuated_data_centres) {
            result.push_back(it.value());
        }
    }
    return result;
}

std::size_t source_node::logged(event_number number) const {
    const std::lock_guard lock(m_mutex);
    const auto it = m_logged.find(number);
    return it == m_logged.end() ? 0 : it->second;
}

void source_node::record(const event_record& record) {
    const std::lock_guard lock(m_mutex);
    ++m_logged[record.number];
}

std::optional<warm_up_plan> source_node::warm_up() const {
    const std::lock_guard lock(m_mutex);
    if (!m_view || m_view->current_plan->services.empty()) {
        return std::nullopt;
    }
    return m_view->current_plan->services.front().warm_up;
}

} // namespace cornelpier::test
