#include "tests/standins/store_standin.hpp"

#include <nlohmann/json.hpp>
#include <websocketpp/base64/base64.hpp>

#include <chrono>
#include <utility>

namespace cornelpier::standins {

using nlohmann::json;

store_standin::store_standin(boost::asio::io_context& context, const std::string& address)
    : m_context(context), m_service(context, address, [this](const auto& it) { on_request(it); }) {}

void store_standin::add_front(const std::string& address) {
    m_fronts[address].service = std::make_unique<http_service>(
        m_context, address, [this, address](const auto& it) { on_front_request(address, it); });
}

void store_standin::refuse(const std::string& address, store_refusal refusal) {
    m_fronts.at(address).refusal = refusal;
}

void store_standin::put(const std::string& key, const std::string& value) {
    m_contents.items[key] = {value, ++m_contents.revision, false};
    notify_watches();
}

void store_standin::remove(const std::string& key) {
    m_contents.items[key] = {{}, ++m_contents.revision, true};
    notify_watches();
}

void store_standin::set_down(bool down) {
    m_down = down;
    if (down) {
        disconnect_watches();
    }
}

void store_standin::save_copy() {
    m_copy = m_contents;
}

void store_standin::restore_copy() {
    m_contents = m_copy;
    ++m_era;
    disconnect_watches();
}

void store_standin::disconnect_watches() {
    for (const auto& it : m_watches) {
        it.request->abort();
    }
    m_watches.clear();
}

void store_standin::on_front_request(const std::string& address, const exchange& it) {
    switch (m_fronts.at(address).refusal) {
    case store_refusal::none:
        on_request(it);
        return;
    case store_refusal::unavailable:
        it->respond(503, "{}");
        return;
    case store_refusal::too_many_requests:
        it->respond(429, "{}");
        return;
    case store_refusal::disconnect:
        it->abort();
        return;
    case store_refusal::silence:
        m_unanswered.push_back(it);
        return;
    }
}

void store_standin::on_request(const exchange& it) {
    ++m_request_count;
    const std::string target{it->request().target()};
    it->response_fields = {{"Store-Era", std::to_string(m_era)}};
    if (m_down) {
        it->respond(503, "{}");
    } else if (target.starts_with("/kv-range")) {
        list_items(it);
    } else if (target.starts_with("/kv-watch")) {
        start_watch(it, target);
    } else {
        it->respond(404, "{}");
    }
}

void store_standin::list_items(const exchange& it) {
    json items = json::array();
    for (const auto& [key, item_state] : m_contents.items) {
        if (!item_state.deleted) {
            items.push_back({{"key", key},
                             {"value", websocketpp::base64_encode(item_state.value)},
                             {"revision", item_state.revision},
                             {"created", item_state.revision},
                             {"lease", 0}});
        }
    }
    it->respond(200,
                json{{"items", items}, {"has_more", false}, {"current_rev", m_contents.revision}}.dump());
}

bool store_standin::respond_with_changes(const exchange& it, std::uint64_t after) const {
    json events = json::array();
    for (const auto& [key, item_state] : m_contents.items) {
        if (item_state.revision <= after) {
            continue;
        }
        json event{{"key", key}, {"revision", item_state.revision}};
        if (item_state.deleted) {
            event["deleted"] = true;
        } else {
            event["value"] = websocketpp::base64_encode(item_state.value);
        }
        events.push_back(std::move(event));
    }
    if (events.empty()) {
        return false;
    }
    it->respond(200, json{{"events", events}, {"current_rev", m_contents.revision}}.dump());
    return true;
}

void store_standin::start_watch(const exchange& it, const std::string& target) {
    const auto after = std::stoull(query_value(target, "after", "0"));
    if (after > m_contents.revision) {
        it->respond(410, "{}");
        return;
    }
    if (respond_with_changes(it, after)) {
        return;
    }
    const std::chrono::milliseconds wait{std::stoi(query_value(target, "wait_ms", "0"))};
    m_watches.push_back({it, after, std::make_unique<boost::asio::steady_timer>(m_context, wait),
                         std::make_shared<bool>(true)});
    const auto position = std::prev(m_watches.end());
    it->on_peer_closed = [this, position] { m_watches.erase(position); };
    // The handler of a timer that has already expired runs even if the watch is erased meanwhile.
    const std::weak_ptr<bool> alive = position->alive;
    position->timeout->async_wait([this, position, alive](boost::system::error_code ec) {
        if (!ec && !alive.expired()) {
            position->request->respond(
                200, json{{"events", json::array()}, {"current_rev", m_contents.revision}}.dump());
            m_watches.erase(position);
        }
    });
}

void store_standin::notify_watches() {
    m_watches.remove_if([this](const watch& it) { return respond_with_changes(it.request, it.after); });
}

} // namespace cornelpier::standins
