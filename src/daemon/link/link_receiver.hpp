#pragma once

#include "cornelpier/message/codec.hpp"

#include "daemon/link/fragment_assembler.hpp"

#include <chrono>
#include <cstddef>
#include <memory>
#include <string_view>
#include <variant>

namespace cornelpier {

/// A fragment arrived, and no message is complete.
struct fragment_received {
    bool report = false; ///< Progress is to be reported; set at most once per interval.
};

/// Decodes the frames that arrive on one link. Not thread-safe.
class link_receiver {
  public:
    using clock = std::chrono::steady_clock;
    using outcome = std::variant<stamped_message, fragment_received, assembly_error>;

    /// Shortest time between two reports of progress. It only has to be short compared with the 250 ms after
    /// which a link without progress is pinged.
    static constexpr std::chrono::milliseconds progress_interval{50};

    /// @param budget see `fragment_assembler`.
    explicit link_receiver(std::shared_ptr<assembly_budget> budget) : m_assembler(std::move(budget)) {}

    /// Handles a binary frame.
    outcome receive(std::string_view frame, clock::time_point now);

    /// Drops the incomplete messages, because the link has ended.
    /// @return their number.
    std::size_t end() { return m_assembler.clear(); }

  private:
    static outcome decode_assembled(assembled_message message, clock::time_point now);

    fragment_assembler m_assembler;
    clock::time_point m_next_report;
};

} // namespace cornelpier
