#include "cornelpier/membership/gossip_composer.hpp"

namespace cornelpier {

gossip gossip_composer::compose_heartbeat(const plan_summary& plan, time_point now) {
    gossip message;
    message.from = m_self;
    message.process = m_process;
    message.digest = plan.digest;
    message.confirmed_age = plan.confirmed_age;
    message.members.push_back(m_members.own_record(now));
    return message;
}

gossip gossip_composer::compose_heartbeat_request(const plan_summary& plan, time_point now) {
    gossip message = compose_heartbeat(plan, now);
    message.wants_reply = true;
    message.exchange_id = ++m_last_exchange;
    return message;
}

gossip gossip_composer::compose_request(const plan_summary& plan, time_point now) {
    gossip message = compose_heartbeat_request(plan, now);
    record_list records{m_self};
    records.add(message.members.front());
    m_selector.add_for_request(m_members.members(), now, m_random, records);
    message.members = records.take();
    return message;
}

gossip gossip_composer::compose_reply(const gossip& received, const plan_summary& plan, time_point now) {
    gossip message = compose_heartbeat(plan, now);
    message.exchange_id = received.exchange_id;
    if (received.members.size() <= 1) {
        return message;
    }

    const auto find = [this](const target_id& id) { return m_members.find(id); };
    record_list records{m_self};
    records.add(message.members.front());
    m_selector.add_for_reply(received.members, find, m_members.members(), now, m_random, records);
    message.members = records.take();
    return message;
}

} // namespace cornelpier
