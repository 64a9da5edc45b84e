#pragma once

#include "cornelpier/message/control_messages.hpp"
#include "cornelpier/message/traffic_messages.hpp"

#include <concepts>
#include <type_traits>

namespace cornelpier {

/// Visits the fields of a message in wire order, for encoding and decoding alike. The order is part of the
/// wire format; new fields go to the end.
template <typename Message, typename Visitor>
requires std::same_as<std::remove_const_t<Message>, attempt_id>
void for_each_field(Message& it, Visitor&& visit) {
    visit(it.request.entry);
    visit(it.request.sequence);
    visit(it.number);
}

template <typename Message, typename Visitor>
requires std::same_as<std::remove_const_t<Message>, run_permit>
void for_each_field(Message& it, Visitor&& visit) {
    visit(it.owner);
    visit(it.expires_at);
}

template <typename Message, typename Visitor>
requires std::same_as<std::remove_const_t<Message>, http_request>
void for_each_field(Message& it, Visitor&& visit) {
    visit(it.method);
    visit(it.path);
    visit(it.fields);
    visit(it.body);
}

template <typename Message, typename Visitor>
requires std::same_as<std::remove_const_t<Message>, http_response>
void for_each_field(Message& it, Visitor&& visit) {
    visit(it.status);
    visit(it.fields);
    visit(it.body);
}

template <typename Message, typename Visitor>
requires std::same_as<std::remove_const_t<Message>, load_reading>
void for_each_field(Message& it, Visitor&& visit) {
    visit(it.target);
    visit(it.in_flight);
    visit(it.queued);
    visit(it.limit);
    visit(it.service_time);
    visit(it.expected_wait);
    visit(it.uptime);
    visit(it.state);
    visit(it.permit);
    visit(it.sequence);
    visit(it.slowness_percent);
    visit(it.rate_limit);
    visit(it.server_leaving);
    visit(it.advice_known);
}

template <typename Message, typename Visitor>
requires std::same_as<std::remove_const_t<Message>, hello>
void for_each_field(Message& it, Visitor&& visit) {
    visit(it.from);
    visit(it.process);
    visit(it.data_centre);
    visit(it.plan_version);
}

/// Messages without fields.
template <typename Message>
concept empty_message = std::same_as<std::remove_const_t<Message>, probe> ||
    std::same_as<std::remove_const_t<Message>, permit_request> ||
    std::same_as<std::remove_const_t<Message>, ping> || std::same_as<std::remove_const_t<Message>, pong>;

template <typename Message, typename Visitor>
requires empty_message<Message>
void for_each_field(Message& /*it*/, Visitor&& /*visit*/) {}

template <typename Message, typename Visitor>
requires std::same_as<std::remove_const_t<Message>, permit_grant>
void for_each_field(Message& it, Visitor&& visit) {
    visit(it.permit);
}

template <typename Message, typename Visitor>
requires std::same_as<std::remove_const_t<Message>, run_request>
void for_each_field(Message& it, Visitor&& visit) {
    visit(it.attempt);
    visit(it.service);
    visit(it.request);
    visit(it.idempotent);
    visit(it.priority);
    visit(it.permit);
    visit(it.key);
    visit(it.wait_limit);
    visit(it.remaining);
    visit(it.depth);
    visit(it.outer_retry);
    visit(it.plan_version);
    visit(it.instance);
    visit(it.route);
    visit(it.objective);
    visit(it.rate_limit);
    visit(it.confined);
    visit(it.spilled);
}

template <typename Message, typename Visitor>
requires std::same_as<std::remove_const_t<Message>, run_response>
void for_each_field(Message& it, Visitor&& visit) {
    visit(it.attempt);
    visit(it.outcome);
    visit(it.reason);
    visit(it.response);
    visit(it.retry_after);
    visit(it.service_time);
    visit(it.load);
}

template <typename Message, typename Visitor>
requires std::same_as<std::remove_const_t<Message>, cancel_attempt>
void for_each_field(Message& it, Visitor&& visit) {
    visit(it.attempt);
}

template <typename Message, typename Visitor>
requires std::same_as<std::remove_const_t<Message>, fate_query>
void for_each_field(Message& it, Visitor&& visit) {
    visit(it.attempt);
    visit(it.permit);
}

template <typename Message, typename Visitor>
requires std::same_as<std::remove_const_t<Message>, fate_reply>
void for_each_field(Message& it, Visitor&& visit) {
    visit(it.attempt);
    visit(it.outcome);
    visit(it.load);
}

template <typename Message, typename Visitor>
requires std::same_as<std::remove_const_t<Message>, request_fingerprint>
void for_each_field(Message& it, Visitor&& visit) {
    visit(it.head);
    visit(it.body);
}

template <typename Message, typename Visitor>
requires std::same_as<std::remove_const_t<Message>, crash_id>
void for_each_field(Message& it, Visitor&& visit) {
    visit(it.owner);
    visit(it.number);
}

template <typename Message, typename Visitor>
requires std::same_as<std::remove_const_t<Message>, suspect_notice>
void for_each_field(Message& it, Visitor&& visit) {
    visit(it.fingerprint);
    visit(it.crashes);
    visit(it.quarantine_left);
    visit(it.quarantine_length);
    visit(it.cleared);
}

template <typename Message, typename Visitor>
requires std::same_as<std::remove_const_t<Message>, suspect_update>
void for_each_field(Message& it, Visitor&& visit) {
    visit(it.service);
    visit(it.suspects);
}

template <typename Message, typename Visitor>
requires std::same_as<std::remove_const_t<Message>, member_record>
void for_each_field(Message& it, Visitor&& visit) {
    visit(it.target);
    visit(it.process);
    visit(it.state);
    visit(it.age);
    visit(it.vm);
    visit(it.vm_age);
}

template <typename Message, typename Visitor>
requires std::same_as<std::remove_const_t<Message>, plan_digest>
void for_each_field(Message& it, Visitor&& visit) {
    visit(it.version);
    visit(it.content_hash);
}

template <typename Message, typename Visitor>
requires std::same_as<std::remove_const_t<Message>, gossip>
void for_each_field(Message& it, Visitor&& visit) {
    visit(it.from);
    visit(it.process);
    visit(it.digest);
    visit(it.confirmed_age);
    visit(it.members);
    visit(it.wants_reply);
    visit(it.exchange_id);
}

template <typename Message, typename Visitor>
requires std::same_as<std::remove_const_t<Message>, plan_pull>
void for_each_field(Message& it, Visitor&& visit) {
    visit(it.from);
}

template <typename Message, typename Visitor>
requires std::same_as<std::remove_const_t<Message>, plan_push>
void for_each_field(Message& it, Visitor&& visit) {
    visit(it.from);
    visit(it.sheet);
}

template <typename Message, typename Visitor>
requires std::same_as<std::remove_const_t<Message>, source_update>
void for_each_field(Message& it, Visitor&& visit) {
    visit(it.from);
    visit(it.position);
    visit(it.digest);
    visit(it.changes);
    visit(it.epoch);
    visit(it.evidence);
    visit(it.process);
    visit(it.sent_at);
    visit(it.age);
    visit(it.route);
    visit(it.is_complete);
}

template <typename Message, typename Visitor>
requires std::same_as<std::remove_const_t<Message>, source_query>
void for_each_field(Message& it, Visitor&& visit) {
    visit(it.from);
    visit(it.position);
    visit(it.digest);
    visit(it.epoch);
    visit(it.plan_hash);
    visit(it.age);
    visit(it.subscribes);
}

/// Message types for which `for_each_field` is defined.
template <typename Message>
concept has_message_fields = requires(Message& it) {
    for_each_field(it, [](auto& /*field*/) {});
};

/// @return the enumerator with the largest value; larger numbers on the wire are rejected.
constexpr verdict max_enumerator(verdict /*tag*/) {
    return verdict::unknown;
}

constexpr refusal max_enumerator(refusal /*tag*/) {
    return refusal::evacuated;
}

constexpr update_evidence max_enumerator(update_evidence /*tag*/) {
    return update_evidence::available;
}

constexpr relay_route max_enumerator(relay_route /*tag*/) {
    return relay_route::second;
}

constexpr node_state max_enumerator(node_state /*tag*/) {
    return node_state::stopped;
}

constexpr request_class max_enumerator(request_class /*tag*/) {
    return least_urgent_class;
}

constexpr fate_outcome max_enumerator(fate_outcome /*tag*/) {
    return fate_outcome::unknown;
}

constexpr vm_state max_enumerator(vm_state /*tag*/) {
    return vm_state::leaving;
}

} // namespace cornelpier
