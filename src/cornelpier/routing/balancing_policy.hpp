#pragma once

#include "cornelpier/base/ids.hpp"
#include "cornelpier/base/random_source.hpp"
#include "cornelpier/base/units.hpp"

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <utility>

namespace cornelpier {

/// Target that may receive a request, as known to the entry.
struct candidate {
    const target_id* target = nullptr; ///< Never null; outlives the call of `choose`.
    duration estimate{}; ///< Expected time until the answer: wait, service, round trip, penalties.
    duration wait{};     ///< Part of the estimate that is spent waiting at the owner.
    std::uint32_t reported_load = 0; ///< Runs in flight and queued in the last reading; 0 without one.
    std::uint32_t own_in_flight = 0; ///< Runs of this entry that have no answer yet.
};

/// Load-balancing policy.
/// `choose` takes at least one candidate and returns the index of one of them.
template <typename Policy>
concept balancing_policy = requires(Policy& policy, std::span<const candidate> candidates,
                                    random_source& random) {
    { policy.choose(candidates, random) } -> std::convertible_to<std::size_t>;
};

/// Type-erased load-balancing policy.
class any_balancing_policy {
  public:
    /// @param policy is moved into the wrapper.
    template <balancing_policy Policy>
    requires(!std::same_as<Policy, any_balancing_policy>) explicit any_balancing_policy(Policy policy)
        : m_policy(std::make_unique<model<Policy>>(std::move(policy))) {}

    /// @param candidates at least one.
    /// @return index of the chosen candidate.
    std::size_t choose(std::span<const candidate> candidates, random_source& random) {
        return m_policy->choose(candidates, random);
    }

  private:
    class interface {
      public:
        interface() = default;
        virtual ~interface() = default;
        interface(const interface&) = delete;
        interface& operator=(const interface&) = delete;
        interface(interface&&) = delete;
        interface& operator=(interface&&) = delete;

        virtual std::size_t choose(std::span<const candidate> candidates, random_source& random) = 0;
    };

    template <balancing_policy Policy>
    class model final : public interface {
      public:
        explicit model(Policy policy) : m_policy(std::move(policy)) {}

        std::size_t choose(std::span<const candidate> candidates, random_source& random) override {
            return m_policy.choose(candidates, random);
        }

      private:
        Policy m_policy;
    };

    std::unique_ptr<interface> m_policy;
};

/// Creates the policy of one service; called once per service and entry.
using balancing_policy_factory = std::function<any_balancing_policy()>;

} // namespace cornelpier
