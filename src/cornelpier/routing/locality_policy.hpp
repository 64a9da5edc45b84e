#pragma once

#include "cornelpier/base/units.hpp"

#include <cstddef>

namespace cornelpier {

/// The operator's price for traffic between data centres.
struct locality_options {
    /// Delay that the operator accepts to keep a kilobyte within the data centre. Zero: bytes have no price.
    duration cost_per_kilobyte{};
    /// Data centres with a shorter round trip count as near: a byte to them has no price.
    duration far_round_trip{};
};

/// Decides whether sending a call to another data centre pays, in units of delay: the price of the bytes of
/// an exchange is compared with the wait that it saves.
class locality_policy {
  public:
    explicit locality_policy(const locality_options& options) : m_options(options) {}

    /// @return whether bytes to far data centres have a price at all.
    [[nodiscard]] bool has_price() const { return m_options.cost_per_kilobyte > duration::zero(); }

    /// @param fastest_round_trip shortest round trip to the data centre that was observed.
    /// @return whether bytes to the data centre have a price.
    [[nodiscard]] bool is_far(duration fastest_round_trip) const;

    /// @param bytes expected size of request and response together.
    /// @return delay that is worth as much as sending the exchange to a far data centre.
    [[nodiscard]] duration exchange_cost(std::size_t bytes) const;

    /// @param time_left until the caller's deadline.
    /// @return whether any wait that the call could be spared is worth the exchange.
    [[nodiscard]] bool may_pay(std::size_t bytes, duration time_left) const {
        return exchange_cost(bytes) < time_left;
    }

  private:
    locality_options m_options;
};

} // namespace cornelpier
