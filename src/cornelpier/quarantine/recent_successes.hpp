#pragma once

#include "cornelpier/base/units.hpp"
#include "cornelpier/quarantine/run_trace.hpp"

#include <array>
#include <cstddef>
#include <optional>

namespace cornelpier {

/// Requests that ended well at a server a short time ago. If the server ends while such a request is in
/// progress again, the request is hardly the cause. This keeps frequent requests out of suspicion.
class recent_successes {
  public:
    /// Longer ago, a success says little: the server or its data may have changed.
    static constexpr duration max_age = std::chrono::seconds{2};

    /// Requests with larger bodies are not remembered, since each run would have to hash them.
    static constexpr std::size_t max_body_bytes = 4096;

    static constexpr std::size_t slots = 512;

    void add(const run_trace& trace, time_point now);

    [[nodiscard]] bool contains(const request_fingerprint& fingerprint, time_point now) const;

  private:
    struct entry {
        request_fingerprint fingerprint;
        std::optional<time_point> at;
    };

    [[nodiscard]] static std::size_t slot_of(const request_fingerprint& fingerprint);

    std::array<entry, slots> m_entries{}; ///< One request for each slot; a newer one replaces it.
};

} // namespace cornelpier
