#pragma once

#include "daemon/link/link_manager.hpp"
#include "platform/store_fleet_source.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

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

    /// @return the warm-up of the service in that plan; nothing if there is no plan or no limit. Thread-safe.
    [[nodiscard]] std::optional<warm_up_plan> warm_up() const;

  private:
    node_identity m_identity;
    std::string m_node_address;
    link_manager m_links;
    mutable std::mutex m_mutex;
    shared_fleet_view m_view;
    platform::store_fleet_source m_source;
};

} // namespace cornelpier::test
