#include "daemon/link/link_receiver.hpp"

#include "cornelpier/message/message_body.hpp"

#include <algorithm>
#include <utility>

namespace cornelpier {

namespace {

link_receiver::outcome to_outcome(result<stamped_message> decoded) {
    if (auto* problem = std::get_if<error>(&decoded)) {
        return assembly_error{event_number::link_message_malformed, std::move(problem->reason)};
    }
    return std::get<stamped_message>(std::move(decoded));
}

/// The sender states the time left when it sends the first fragment. Without this correction, the owner would
/// start a run whose deadline passed while the message arrived.
void subtract_transfer_time(node_message& message, link_receiver::clock::duration elapsed) {
    auto* traffic = std::get_if<traffic_message>(&message);
    auto* run = traffic == nullptr ? nullptr : std::get_if<run_request>(traffic);
    if (run == nullptr) {
        return;
    }
    const auto transfer = std::chrono::duration_cast<duration>(elapsed);
    run->remaining = std::max(run->remaining - transfer, duration::zero());
    run->objective -= transfer;
}

} // namespace

link_receiver::outcome link_receiver::receive(std::string_view frame, clock::time_point now) {
    if (!is_fragment(frame)) {
        return to_outcome(decode_stamped(frame));
    }
    auto added = m_assembler.add(frame, now);
    if (auto* problem = std::get_if<assembly_error>(&added)) {
        // The link is closed later on. Until then, its bytes would keep other links from receiving.
        m_assembler.clear();
        return std::move(*problem);
    }
    if (auto* message = std::get_if<assembled_message>(&added)) {
        return decode_assembled(std::move(*message), now);
    }
    const bool report = now >= m_next_report;
    if (report) {
        m_next_report = now + progress_interval;
    }
    return fragment_received{report};
}

link_receiver::outcome link_receiver::decode_assembled(assembled_message message, clock::time_point now) {
    auto result = to_outcome(decode_stamped(message.head));
    auto* stamped = std::get_if<stamped_message>(&result);
    if (stamped == nullptr) {
        return result;
    }
    if (!message.body.empty() && !attach_body(stamped->message, std::move(message.body))) {
        return assembly_error{event_number::link_message_malformed, "a body of a message that has none"};
    }
    subtract_transfer_time(stamped->message, now - message.opened_at);
    return result;
}

} // namespace cornelpier
