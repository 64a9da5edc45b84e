#pragma once

#include "cornelpier/node/control_events.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cornelpier {

/// Addresses and paths of the platform's services.
struct platform_endpoints {
    std::string configuration_address; ///< `IP:port`.
    std::string configuration_path;
    std::string vm_list_address; ///< `IP:port`.
    std::string vm_list_path;
};

/// Reads the configuration service and the VM list. Must be used on the thread that runs the context.
class platform_reader {
  public:
    /// Receives the outcome of each read.
    using handler = std::function<void(control_event)>;

    /// @param context runs the reads on a single thread.
    /// @param endpoints addresses must be valid for `parse_address`.
    platform_reader(boost::asio::io_context& context, platform_endpoints endpoints, handler on_event);
    ~platform_reader();

    platform_reader(const platform_reader&) = delete;
    platform_reader& operator=(const platform_reader&) = delete;
    platform_reader(platform_reader&&) = delete;
    platform_reader& operator=(platform_reader&&) = delete;

    /// Reads the plan. Results in `plan_read`, `plan_unchanged` or `plan_read_failed`.
    void read_plan(const cornelpier::read_plan& action);

    /// Reads the VM list. Results in `vm_list_read` or `vm_list_read_failed`.
    void read_vm_list();

  private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// @param text body of the VM list.
/// @return `vm_list_read`, or `vm_list_read_failed` if the text is not a valid VM list.
control_event parse_vm_list(const std::string& text);

} // namespace cornelpier
