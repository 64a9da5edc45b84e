#pragma once

namespace cornelpier {

/// How a received status is treated.
enum class status_kind {
    interim, ///< 100 to 199 except 101: the final response follows.
    final,   ///< 200 to 599.
    invalid, ///< Any other; the response counts as no response. 101 is never requested from a server.
};

inline constexpr int first_interim_status = 100;
inline constexpr int switching_protocols_status = 101;
inline constexpr int first_final_status = 200;
inline constexpr int last_final_status = 599;

/// @param status as received.
/// @return how a response with this status is treated.
constexpr status_kind kind_of_status(int status) {
    if (status >= first_final_status && status <= last_final_status) {
        return status_kind::final;
    }
    const bool is_interim =
        status >= first_interim_status && status < first_final_status && status != switching_protocols_status;
    return is_interim ? status_kind::interim : status_kind::invalid;
}

} // namespace cornelpier
