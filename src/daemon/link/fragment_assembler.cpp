#include "daemon/link/fragment_assembler.hpp"

#include "daemon/net/body_growth.hpp"

#include <algorithm>
#include <utility>

namespace cornelpier {

namespace {

assembly_error malformed(std::string reason) {
    return {event_number::link_message_malformed, std::move(reason)};
}

} // namespace

fragment_assembler::fragment_assembler(std::shared_ptr<assembly_budget> budget)
    : m_budget(std::move(budget)) {}

fragment_assembler::~fragment_assembler() {
    clear();
}

fragment_assembler::outcome fragment_assembler::add(std::string_view frame, clock::time_point now) {
    const auto header = parse_header(frame);
    if (!header) {
        return malformed("a fragment without a complete header");
    }
    const auto data = frame.substr(fragment_header_bytes);
    if (header->kind == fragment_kind::abort) {
        return abort(*header, data);
    }
    if (data.empty() || data.size() > max_fragment_bytes) {
        return malformed("a fragment that is empty or too large");
    }
    const auto it = m_open.find(header->message);
    return it == m_open.end() ? open(*header, data, now) : append(it, *header, data);
}

fragment_assembler::outcome fragment_assembler::open(const fragment_header& header, std::string_view data,
                                                     clock::time_point now) {
    if (header.offset != 0 || header.message <= m_last_number) {
        return malformed("a fragment of an unknown message");
    }
    if (header.head_size == 0) {
        return malformed("a message without a head");
    }
    if (std::size_t{header.head_size} + header.body_size > m_budget->limit()) {
        return malformed("a message was larger than " + std::to_string(m_budget->limit()) + " bytes");
    }
    if (m_open.size() >= max_open_messages) {
        return malformed("too many incomplete messages");
    }
    m_last_number = header.message;
    const auto it =
        m_open.emplace(header.message, open_message{header.head_size, header.body_size, {{}, {}, now}}).first;
    return append(it, header, data);
}

fragment_assembler::outcome fragment_assembler::append(open_map::iterator it, const fragment_header& header,
                                                       std::string_view data) {
    auto& message = it->second;
    if (header.head_size != message.head_size || header.body_size != message.body_size) {
        return malformed("fragments of one message name different lengths");
    }
    if (header.offset != message.received()) {
        return malformed("a fragment out of order");
    }
    if (data.size() > message.size() - message.received()) {
        return malformed("a message longer than announced");
    }
    if (!m_budget->take(data.size())) {
        return assembly_error{event_number::link_assembly_full,
                              "incomplete messages fill the memory for them"};
    }

    auto& [head, body, opened_at] = message.content;
    const auto head_part = data.substr(0, message.head_size - head.size());
    const auto body_part = data.substr(head_part.size());
    reserve_for_append(head, head_part.size(), message.head_size);
    head.append(head_part);
    reserve_for_append(body, body_part.size(), message.body_size);
    body.append(body_part);
    if (message.received() < message.size()) {
        return {};
    }
    m_budget->give_back(message.received());
    auto result = std::move(message.content);
    m_open.erase(it);
    return result;
}

fragment_assembler::outcome fragment_assembler::abort(const fragment_header& header, std::string_view data) {
    const auto it = m_open.find(header.message);
    if (it == m_open.end() || !data.empty()) {
        return malformed("the end of an unknown message");
    }
    remove(it);
    return {};
}

void fragment_assembler::remove(open_map::iterator it) {
    m_budget->give_back(it->second.received());
    m_open.erase(it);
}

std::size_t fragment_assembler::clear() {
    const std::size_t count = m_open.size();
    while (!m_open.empty()) {
        remove(m_open.begin());
    }
    return count;
}

} // namespace cornelpier
