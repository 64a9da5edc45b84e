#include "tests/platform/support/source_fleet.hpp"

#include "tests/platform/support/source_documents.hpp"

#include <boost/asio/post.hpp>

#include <exception>
#include <future>

namespace cornelpier::test {

source_fleet::source_fleet(std::chrono::milliseconds limit)
    : m_propagation_limit(limit), m_store(m_context, store_endpoint()) {
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

void source_fleet::register_all(const std::vector<std::string>& nodes) {
    for (const auto& it : nodes) {
        put(source_entry_key(it), source_entry(it, "ready"));
    }
}

void source_fleet::refuse(const std::string& node, standins::store_refusal refusal) {
    run([&] { m_store.refuse(store_front(node), refusal); });
}

void source_fleet::save_copy() {
    run([&] { m_store.save_copy(); });
}

void source_fleet::restore_copy(const std::vector<std::pair<std::string, std::string>>& written) {
    run([&] {
        m_store.restore_copy();
        for (const auto& [key, value] : written) {
            m_store.put(key, value);
        }
    });
}

std::uint64_t source_fleet::store_calls() {
    std::uint64_t calls = 0;
    run([&] { calls = m_store.request_count(); });
    return calls;
}

source_node& source_fleet::start_node(const std::string& address, standins::store_refusal refusal) {
    run([&] {
        m_store.add_front(store_front(address));
        m_store.refuse(store_front(address), refusal);
        m_nodes.push_back(
            std::make_unique<source_node>(m_context, address, store_front(address), m_propagation_limit));
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
