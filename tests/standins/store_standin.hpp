#pragma once

#include "tests/standins/http_service.hpp"

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cornelpier::standins {

/// How the store turns the requests of one node away.
enum class store_refusal : std::uint8_t {
    none,
    unavailable,       ///< Status 503.
    too_many_requests, ///< Status 429.
    disconnect,        ///< The connection is closed without a response.
    silence,           ///< Neither a response nor a close.
};

/// Stand-in for the platform's key-value store, with range reads and long-poll watches as its documentation
/// describes them. Not thread-safe: used on the thread of its context only.
class store_standin {
  public:
    store_standin(boost::asio::io_context& context, const std::string& address);

    /// Adds an address, so that the requests to it can be refused while others are served.
    void add_front(const std::string& address);

    /// Changes how requests to an added address are refused from now on. Pending watches are not affected.
    void refuse(const std::string& address, store_refusal refusal);

    /// Writes a key and notifies the watches.
    void put(const std::string& key, const std::string& value);

    /// Deletes a key and notifies the watches.
    void remove(const std::string& key);

    /// @param down whether requests are rejected with 503; pending watches are disconnected.
    void set_down(bool down);

    /// Keeps a copy of all keys and of the revision.
    void save_copy();

    /// Returns to the copy that was kept last: later changes are lost, their revisions are given out again,
    /// and pending watches are disconnected. Responses carry the next era.
    void restore_copy();

    /// @return the number of requests received, including rejected ones.
    [[nodiscard]] std::uint64_t request_count() const { return m_request_count; }

  private:
    using exchange = std::shared_ptr<http_exchange>;

    /// An address with a refusal of its own.
    struct front {
        store_refusal refusal = store_refusal::none;
        std::unique_ptr<http_service> service;
    };

    struct item {
        std::string value;
        std::uint64_t revision = 0;
        bool deleted = false;
    };

    struct contents {
        std::map<std::string, item> items;
        std::uint64_t revision = 1;
    };

    struct watch {
        exchange request;
        std::uint64_t after = 0;
        std::unique_ptr<boost::asio::steady_timer> timeout;
        std::shared_ptr<bool> alive; ///< Expires with this object.
    };

    void on_request(const exchange& it);
    void on_front_request(const std::string& address, const exchange& it);
    void list_items(const exchange& it);
    void start_watch(const exchange& it, const std::string& target);
    bool respond_with_changes(const exchange& it, std::uint64_t after) const;
    void notify_watches();
    void disconnect_watches();

    boost::asio::io_context& m_context;
    contents m_contents;
    contents m_copy;
    std::uint64_t m_era = 1;
    std::list<watch> m_watches;
    std::uint64_t m_request_count = 0;
    bool m_down = false;
    std::map<std::string, front> m_fronts;
    std::vector<exchange> m_unanswered; ///< Kept open, without a response.
    http_service m_service;
};

} // namespace cornelpier::standins
