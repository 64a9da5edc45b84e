#include "tests/platform/support/source_fleet.hpp"

#include "tests/process/support/sidecar_documents.hpp"

#include <boost/asio/post.hpp>

#include <future>
#include <stdexcept>
#include <unistd.h>

namespace cornelpier::test {

namespace {

constexpr std::uint16_t node_port = 28124;
constexpr std::uint16_t store_port = 28126;
constexpr std::uint16_t server_port = 28123;

constexpr const char* service_name = "status";

/// Tests that run at the same time use different networks.
std::string loopback_address(int host) {
    return "127.12." + std::to_string(getpid() % 250) + '.' + std::to_string(host);
}

std::string endpoint(const std::string& address, std::uint16_t port) {
    return address + ':' + std::to_string(port);
}

std::string store_endpoint() {
    return endpoint(loopback_address(254), store_port);
}

platform::platform_settings settings_for(const std::string& address, const std::string& store) {
    platform::platform_settings settings;
    settings.store_address = store;
    settings.node_port = node_port;
    settings.node_address = endpoint(address, node_port);
    settings.propagation_limit = propagation_limit;
    return settings;
}

void ignore_event(const event_record& /*record*/) {}

} // namespace

std::string source_entry(const std::string& node, const std::string& state) {
    return server_entry_json({.address = endpoint(node, server_port),
                              .service = service_name,
                              .zone = test_data_centre,
                              .state = state});
}

std::string source_entry_key(const std::string& node) {
    return "servers/i-" + node;
}

std::string source_manifest(int version) {
    const auto rows = nlohmann::json::array({route_row("r-1", "a.example", "/l/", "safe", service_name)});
    return manifest_json(version, rows, service_name);
}

source_members with_roles(std::vector<std::string> nodes) {
    std::vector<reader_candidate> candidates;
    for (const auto& it : nodes) {
        candidates.push_back({target_id{it}, data_centre_id{test_data_centre}});
    }
    source_members members{std::move(nodes), {}, {}};
    for (const auto& it : members.nodes) {
        reader_roles roles{target_id{it}, data_centre_id{test_data_centre}, propagation_limit};
        roles.set_members(candidates);
        if (roles.is_reader()) {
            members.reader = it;
        }
        if (roles.is_relay()) {
            members.relays.push_back(it);
        }
    }
    return members;
}

source_members find_members(std::size_t count, const std::function<bool(const source_members&)>& accept) {
    constexpr int last_host = 250;
    const auto step = static_cast<int>(count);
    for (int first = 1; first + step <= last_host; first += step) {
        std::vector<std::string> nodes;
        for (int n = 0; n < step; ++n) {
            nodes.push_back(loopback_address(first + n));
        }
        auto members = with_roles(std::move(nodes));
        if (accept(members)) {
            return members;
        }
    }
    throw std::runtime_error("no group of addresses has the required roles");
}

source_node::source_node(boost::asio::io_context& context, const std::string& address,
                         const std::string& store)
    : m_identity{target_id{address},       incarnation{1},
                 vm_id{address},           data_centre_id{test_data_centre},
                 service_id{service_name}, {}},
      m_node_address(endpoint(address, node_port)),
      m_links(context, {[](link_id) {}, [](link_id) {}, [](link_id, const traffic_message&) {},
                        [this](control_message it) { m_source.on_message(std::move(it)); }, ignore_event}),
      m_source({context, m_identity, m_links, ignore_event,
                [this](shared_fleet_view it) {
                    const std::lock_guard lock(m_mutex);
                    m_view = std::move(it);
                }},
               settings_for(address, store)) {}

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

update_peer::update_peer(boost::asio::io_context& context, const std::string& address)
    : m_links(context, {[](link_id) {}, [](link_id) {}, [](link_id, const traffic_message&) {},
                        [this](const control_message& it) { record(it); }, ignore_event}),
      m_socket(
          context, [this](const control_message& it, const std::string&) { record(it); }, ignore_event) {
    const std::string own = endpoint(address, node_port);
    if (!m_links.bind(own).reason.empty() || !m_socket.bind(own).reason.empty()) {
        throw std::runtime_error("cannot bind " + own);
    }
    m_links.start();
    m_socket.start();
}

void update_peer::send(const std::string& node, const source_update& update) {
    m_links.send_control(endpoint(node, node_port), update);
}

void update_peer::stop() {
    m_socket.stop();
    m_links.stop();
}

std::vector<source_update> update_peer::received() const {
    const std::lock_guard lock(m_mutex);
    return m_received;
}

void update_peer::record(const control_message& message) {
    if (const auto* update = std::get_if<source_update>(&message)) {
        const std::lock_guard lock(m_mutex);
        m_received.push_back(*update);
    }
}

source_fleet::source_fleet() : m_store(m_context, store_endpoint()) {
    m_store.put("op/config", source_manifest(1));
    m_thread = std::thread([this] {
        const auto work = boost::asio::make_work_guard(m_context);
        m_context.run();
    });
}

source_fleet::~source_fleet() {
    run([this] {
        for (const auto& it : m_nodes) {
            it->stop();
        }
        for (const auto& it : m_peers) {
            it->stop();
        }
    });
    m_context.stop();
    m_thread.join();
}

void source_fleet::put(const std::string& key, const std::string& value) {
    run([&] { m_store.put(key, value); });
}

void source_fleet::remove(const std::string& key) {
    run([&] { m_store.remove(key); });
}

source_node& source_fleet::start_node(const std::string& address) {
    run([&] {
        m_nodes.push_back(std::make_unique<source_node>(m_context, address, store_endpoint()));
        m_nodes.back()->start();
    });
    return *m_nodes.back();
}

update_peer& source_fleet::add_peer(const std::string& address) {
    run([&] { m_peers.push_back(std::make_unique<update_peer>(m_context, address)); });
    return *m_peers.back();
}

void source_fleet::send(update_peer& from, const std::string& to, const source_update& update) {
    run([&] { from.send(to, update); });
}

void source_fleet::run(const std::function<void()>& function) {
    std::promise<void> done;
    boost::asio::post(m_context, [&] {
        try {
            function();
            done.set_value();
        } catch (...) {
            done.set_exception(std::current_exception());
        }
    });
    done.get_future().get();
}

} // namespace cornelpier::test
