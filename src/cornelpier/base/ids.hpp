#pragma once

#include "cornelpier/base/strong_id.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace cornelpier {

/// Names a target and the node on its VM; each target has exactly one node.
using target_id = strong_id<struct target_tag, std::string>;

/// Names a service.
using service_id = strong_id<struct service_tag, std::string>;

/// Names a data centre.
using data_centre_id = strong_id<struct data_centre_tag, std::string>;

/// Names a VM.
using vm_id = strong_id<struct vm_tag, std::string>;

/// Random number that a node process draws at its start; tells a restarted node from its predecessor.
using incarnation = strong_id<struct incarnation_tag, std::uint64_t>;

/// A caller's HTTP exchange at one entry; local to the process.
using call_id = strong_id<struct call_tag, std::uint64_t>;

/// A request handed to the server by one owner; local to the process.
using run_id = strong_id<struct run_tag, std::uint64_t>;

/// A node link; local to the process. Links opened by the core and accepted links never share a value.
using link_id = strong_id<struct link_tag, std::uint64_t>;

/// Accepted links carry this bit; the shell assigns them. The core assigns opened links without it. The
/// shell counts from 2^62 up, so that its accepted links never pair with a link that the core opened.
inline constexpr std::uint64_t accepted_link_bit = std::uint64_t{1} << 63U;

/// Identity of a request over all nodes: the incarnation of its entry and a sequence number there.
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
