#pragma once

#include "daemon/link/link_manager.hpp"
#include "platform/store_fleet_source.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace cornelpier::test {

/// A node's source of the fleet's state with the links to other nodes.
class source_node {
  public:
    /// @param store address of the store.
    /// @param limit time within which changes must take effect.
    source_node(boost::asio::io_context& context, const std::string& address, const std::string& store,
                std::chrono::milliseconds limit);

    /// Starts the source. Called on the thread of the context.
    void start();

    /// Stops the source and the links. Called on the thread of the context.
    void stop();

    /// @return state of a VM in the view that the source published last. Thread-safe.
    [[nodiscard]] vm_state state_of(const std::string& vm) const;

    /// @return version of the plan that the source published last, 0 if there is none. Thread-safe.
    [[nodiscard]] std::uint64_t plan_version() const;

    /// @return the evacuated data centres of the plan that the source published last. Thread-safe.
    [[nodiscard]] std::vector<std::string> evacuated() const;

    /// @return the number of events of this kind that the source logged. Thread-safe.
    [[nodiscard]] std::size_t logged(event_number number) const;

    /// @return the warm-up of the service in that plan; nothing if there is no plan or no limit. Thread-safe.
    [[nodiscard]] std::optional<warm_up_plan> warm_up() const;

  private:
    void record(const event_record& record);

    node_identity m_identity;
    std::string m_node_address;
    link_manager m_links;
    mutable std::mutex m_mutex;
    shared_fleet_view m_view;
    std::map<event_number, std::size_t> m_logged;
    platform::store_fleet_source m_source;
};

} // namespace cornelpier::test
