#include "cornelpier/entry/quarantine_gate.hpp"

#include "cornelpier/base/hash.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace cornelpier {

namespace {

/// Bound the connections that one end of a server causes, before and after the cause is found. Entries pass
/// the news on to the other owners.
constexpr std::size_t max_links_for_suspects = 12;
constexpr std::size_t max_links_for_quarantine = 128;

} // namespace

suspicion quarantine_gate::level(const call_state& call) {
    m_suspects.expire(m_context.now());
    return m_suspects.level(call.event.service, call.event.request, m_context.now());
}

duration quarantine_gate::quarantine_left(const call_state& call) const {
    return m_suspects.quarantine_left(call.event.service, call.event.request, m_context.now());
}

void quarantine_gate::on_rejected(const call_state& call) {
    const auto left = std::chrono::duration_cast<std::chrono::seconds>(quarantine_left(call));
    m_context.log_event(event_number::quarantined_request_rejected,
                        {{"service", call.event.service.value()},
                         {"fingerprint", to_string(fingerprint_of(call.event.service, call.event.request))},
                         {"left_s", std::to_string(left.count())}});
    m_context.count(metric::run_quarantined, call.event.service);
}

void quarantine_gate::on_success(const call_state& call) {
    if (const auto fingerprint = m_suspects.find(call.event.service, call.event.request)) {
        m_suspects.on_success(*fingerprint, m_context.now());
    }
}

void quarantine_gate::on_refused(const call_state& call, duration left) {
    m_suspects.on_refused(call.event.service, fingerprint_of(call.event.service, call.event.request), left,
                          m_context.now());
}

bool quarantine_gate::apply(const suspect_update& update) {
    const suspect_changes changes = m_suspects.apply(update, m_context.now());
    for (const auto& it : changes.quarantined) {
        m_context.log_event(event_number::request_quarantined, quarantine_fields(it));
    }
    return changes.has_news;
}

/// A link that is not open yet gets all that is known when it opens.
void quarantine_gate::publish(const suspect_update& update) {
    apply(update);
    const auto* service = m_context.find_service(update.service);
    if (service == nullptr) {
        return;
    }
    const bool has_cause = std::ranges::any_of(update.suspects, [](const suspect_notice& it) {
        return it.cleared || it.quarantine_length > duration::zero();
    });
    const std::size_t max_links = has_cause ? max_links_for_quarantine : max_links_for_suspects;
    std::size_t opened = 0;
    for (const target_plan* it : in_own_order(service->targets)) {
        if (m_links.is_ready(it->id)) {
            m_links.send(it->id, update);
        } else if (it->id != m_context.identity.self && opened < max_links) {
            ++opened;
            m_links.open(it->id, it->node_address);
        }
    }
}

/// The order differs from node to node, so that the first targets do not get the links of all.
std::vector<const target_plan*> quarantine_gate::in_own_order(const std::vector<target_plan>& targets) const {
    std::vector<const target_plan*> result;
    std::ranges::transform(targets, std::back_inserter(result), [](const target_plan& it) { return &it; });
    std::ranges::sort(result, {}, [this](const target_plan* it) {
        return rendezvous_score(m_context.identity.self.value(), it->id.value());
    });
    return result;
}

void quarantine_gate::on_link_lost(const target_id& target) {
    if (!news_for(target).suspects.empty()) {
        m_links.open(target, m_context.find_target(target)->node_address);
    }
}

/// Only the nodes of the same service connect, so that a new target gets few links at once.
void quarantine_gate::on_plan_changed(const fleet_view& before) {
    const target_id& self = m_context.identity.self;
    if (news_for(self).suspects.empty()) {
        return;
    }
    for (const auto& it : m_context.view->current_plan->service_of(self)->targets) {
        if (it.id != self && before.current_plan->find_target(it.id) == nullptr) {
            m_links.open(it.id, it.node_address);
        }
    }
}

void quarantine_gate::on_update(const target_id& from, const suspect_update& update) {
    const auto* service = m_context.find_service(update.service);
    if (!apply(update) || service == nullptr) {
        return;
    }
    for (const auto& it : service->targets) {
        if (it.id != from) {
            m_links.send(it.id, update);
        }
    }
}

void quarantine_gate::on_link_ready(const target_id& target) {
    suspect_update update = news_for(target);
    if (!update.suspects.empty()) {
        m_links.send(target, std::move(update));
    }
}

suspect_update quarantine_gate::news_for(const target_id& target) const {
    if (m_suspects.empty() || m_context.view == nullptr) {
        return {};
    }
    const auto* service = m_context.view->current_plan->service_of(target);
    return service == nullptr ? suspect_update{} : m_suspects.make_update(service->id, m_context.now());
}

} // namespace cornelpier
