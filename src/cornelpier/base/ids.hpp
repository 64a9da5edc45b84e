#pragma once

#include "cornelpier/base/strong_id.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace cornelpier {

/// Identifies a target and its node; each target has exactly one node.
using target_id = strong_id<struct target_tag, std::string>;

using service_id = strong_id<struct service_tag, std::string>;

using data_centre_id = strong_id<struct data_centre_tag, std::string>;

using vm_id = strong_id<struct vm_tag, std::string>;

/// Random number drawn when a node process starts; distinguishes a restarted node from its predecessor.
using incarnation = strong_id<struct incarnation_tag, std::uint64_t>;

/// Identifies a caller's HTTP exchange at an entry; local to the process.
using call_id = strong_id<struct call_tag, std::uint64_t>;

/// Identifies a request that an owner accepted for its server; local to the process.
using run_id = strong_id<struct run_tag, std::uint64_t>;

/// Identifies a node link; local to the process. The ids of opened and accepted links are disjoint.
using link_id = strong_id<struct link_tag, std::uint64_t>;

/// Set in the ids of accepted links, which the shell assigns; clear in those of opened links, which the core
/// assigns. The two ends of a link within one process differ only in this bit. The shell therefore counts up
/// from 2^62, so that a link accepted from another process is not taken for the other end of an opened one.
inline constexpr std::uint64_t accepted_link_bit = std::uint64_t{1} << 63U;

/// Identifies a request across all nodes: the incarnation of its entry and a sequence number of that entry.
struct request_id {
    incarnation entry;
    std::uint64_t sequence = 0;

    friend bool operator==(const request_id&, const request_id&) = default;

    /// @copydoc strong_id::operator<=>
    friend std::strong_ordering operator<=>(const request_id& left, const request_id& right) {
        const std::strong_ordering order = left.entry <=> right.entry;
        return std::is_eq(order) ? left.sequence <=> right.sequence : order;
    }
};

} // namespace cornelpier

template <>
struct std::hash<cornelpier::request_id> {
    std::size_t operator()(const cornelpier::request_id& id) const noexcept {
        constexpr std::uint64_t golden_ratio = 0x9e3779b97f4a7c15ULL;
        return std::hash<std::uint64_t>{}(id.entry.value() ^ (id.sequence * golden_ratio));
    }
};
