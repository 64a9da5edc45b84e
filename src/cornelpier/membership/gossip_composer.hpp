#pragma once

#include "cornelpier/base/random_source.hpp"
#include "cornelpier/membership/member_manager.hpp"
#include "cornelpier/membership/record_selector.hpp"
#include "cornelpier/message/control_messages.hpp"

namespace cornelpier {

/// What a node says about its plan in every gossip message.
struct plan_summary {
    plan_digest digest;
    duration confirmed_age{};
};

/// Writes gossip messages.
class gossip_composer {
  public:
    /// @param members outlives the composer.
    gossip_composer(const node_identity& identity, member_manager& members, random_source random)
        : m_self(identity.self), m_process(identity.process), m_members(members),
          m_selector(identity.data_centre), m_random(random) {}

    /// @return a message with the own record alone.
    gossip compose_heartbeat(const plan_summary& plan, time_point now);

    /// @return a message that starts an exchange.
    gossip compose_request(const plan_summary& plan, time_point now);

    /// @return the answer to a request. A brief request, which only asks for a sign of life, gets a brief
    /// one.
    gossip compose_reply(const gossip& received, const plan_summary& plan, time_point now);

    /// @return the number of the latest exchange that was started.
    [[nodiscard]] std::uint64_t last_exchange() const { return m_last_exchange; }

    /// Makes a brief message start an exchange.
    gossip compose_heartbeat_request(const plan_summary& plan, time_point now);

  private:
    target_id m_self;
    incarnation m_process;
    member_manager& m_members;
    record_selector m_selector;
    random_source m_random;
    std::uint64_t m_last_exchange = 0;
};

} // namespace cornelpier
