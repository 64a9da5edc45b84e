#pragma once

#include <cstddef>

namespace cornelpier {

/// Average size of the requests and responses of a route, as an exponentially weighted average.
class exchange_size_meter {
  public:
    /// Records an exchange.
    /// @param bytes size of request and response together.
    void add(std::size_t bytes);

    /// @return expected size of an exchange in bytes; a default before the first one.
    [[nodiscard]] std::size_t expected() const { return static_cast<std::size_t>(m_bytes); }

  private:
    /// Typical response of a lookup.
    static constexpr double default_bytes = 4000;

    double m_bytes = default_bytes;
    bool m_has_samples = false;
};

} // namespace cornelpier
