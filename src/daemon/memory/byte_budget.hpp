#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace cornelpier {

/// What the bytes of a budget are held for.
enum class held_bytes : std::uint8_t {
    request_bodies,
    heads,            ///< Unparsed input and parsed fields of callers.
    unread_responses, ///< Until the caller has read them.
    link_queues,
};

inline constexpr std::size_t held_bytes_kinds = 4;

/// @return the name of the kind in metrics.
const char* to_string(held_bytes kind);

/// Use of a budget at one moment.
struct byte_budget_usage {
    std::size_t limit = 0;
    std::size_t used = 0;
    std::array<std::size_t, held_bytes_kinds> by_kind{}; ///< Indexed by `held_bytes`.
    std::uint64_t refusals = 0;                          ///< Since the start.
};

/// Budget of the bytes that a process holds for callers, servers and other nodes. Large holders are refused
/// while an eighth of the budget is still free, so that ordinary small requests keep room. Thread-safe.
class byte_budget {
  public:
    /// Holders of at most this size may use the reserve.
    static constexpr std::size_t small_bytes = std::size_t{16} * 1024;

    /// @param limit total number of bytes.
    /// @param sole_limit the same for a holder beside which at most a sixteenth of `limit` is held; at least
    /// `limit`.
    explicit byte_budget(std::size_t limit, std::size_t sole_limit = 0);

    /// Takes bytes if there is room.
    /// @param kind what the bytes are held for.
    /// @param more bytes to take.
    /// @param total bytes of the holder including `more`; decides whether it may use the reserve.
    /// @return false if there is no room; nothing is taken then.
    [[nodiscard]] bool try_take(held_bytes kind, std::size_t more, std::size_t total);

    /// Counts bytes that are held in any case. The use may exceed the limit.
    void take(held_bytes kind, std::size_t more);

    /// Returns bytes.
    void give_back(held_bytes kind, std::size_t bytes);

    /// @return whether a holder of this size could get room now. Counts a refusal if not.
    [[nodiscard]] bool has_room_for(std::size_t total);

    /// @return the largest use since the last call. A burst may be shorter than the interval of the caller.
    std::size_t take_peak();

    /// @return the use at this moment.
    [[nodiscard]] byte_budget_usage usage() const;

  private:
    [[nodiscard]] std::size_t limit_for(std::size_t total, std::size_t others) const;

    void record_peak(std::size_t used);

    std::size_t m_limit;
    std::size_t m_sole_limit;
    std::atomic<std::size_t> m_used = 0;
    std::atomic<std::size_t> m_peak = 0;
    std::array<std::atomic<std::size_t>, held_bytes_kinds> m_by_kind{};
    std::atomic<std::uint64_t> m_refusals = 0;
};

/// Derives the budget from the memory limit of the settings. The rest is for code, tables, buffers of fixed
/// size, and copies of messages while they are passed on.
/// @param memory_limit_mb limit in MiB.
/// @return bytes that the budget may hold.
constexpr std::size_t budget_bytes(std::uint32_t memory_limit_mb) {
    return std::size_t{memory_limit_mb} * 1024 * 1024 * 3 / 8;
}

/// @return bytes that one holder may have while nothing else is going on; with 160 MB enough for a body of
/// 64 MiB.
constexpr std::size_t sole_budget_bytes(std::uint32_t memory_limit_mb) {
    return std::size_t{memory_limit_mb} * 1024 * 1024 / 2;
}

} // namespace cornelpier
