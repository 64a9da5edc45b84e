#pragma once

#include "cornelpier/base/event_catalogue.hpp"

#include "daemon/link/assembly_budget.hpp"
#include "daemon/link/fragment_format.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>

namespace cornelpier {

/// A complete message that arrived in fragments.
struct assembled_message {
    std::string head;
    std::string body;
    std::chrono::steady_clock::time_point opened_at; ///< Arrival of the first fragment.
};

/// Why a link has to be closed.
struct assembly_error {
    event_number number = event_number::link_message_malformed;
    std::string reason;
};

/// Puts together the messages that one link receives in fragments. Not thread-safe; the budget may be shared.
class fragment_assembler {
  public:
    using clock = std::chrono::steady_clock;

    /// Nothing: more fragments have to follow.
    using outcome = std::variant<std::monostate, assembled_message, assembly_error>;

    /// @param budget bounds the size of each message and the incomplete ones of all links together.
    explicit fragment_assembler(std::shared_ptr<assembly_budget> budget);
    ~fragment_assembler();

    fragment_assembler(const fragment_assembler&) = delete;
    fragment_assembler& operator=(const fragment_assembler&) = delete;
    fragment_assembler(fragment_assembler&&) = delete;
    fragment_assembler& operator=(fragment_assembler&&) = delete;

    /// Adds a fragment.
    /// @param frame for which `is_fragment` is true.
    /// @param now time of arrival.
    /// @return the message if it is complete. After an error, no further fragment may be added.
    outcome add(std::string_view frame, clock::time_point now);

    /// Drops the incomplete messages.
    /// @return their number.
    std::size_t clear();

    /// @return number of incomplete messages.
    [[nodiscard]] std::size_t open_messages() const { return m_open.size(); }

  private:
    struct open_message {
        std::uint32_t head_size = 0;
        std::uint32_t body_size = 0;
        assembled_message content;

        [[nodiscard]] std::size_t received() const { return content.head.size() + content.body.size(); }
        [[nodiscard]] std::size_t size() const { return std::size_t{head_size} + body_size; }
    };
    using open_map = std::unordered_map<std::uint32_t, open_message>;

    outcome open(const fragment_header& header, std::string_view data, clock::time_point now);
    outcome append(open_map::iterator it, const fragment_header& header, std::string_view data);
    outcome abort(const fragment_header& header, std::string_view data);
    void remove(open_map::iterator it);

    std::shared_ptr<assembly_budget> m_budget;
    open_map m_open;
    std::uint32_t m_last_number = 0;
};

} // namespace cornelpier
