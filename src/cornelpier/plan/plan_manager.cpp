#include "cornelpier/plan/plan_manager.hpp"

#include "cornelpier/base/hash.hpp"
#include "cornelpier/plan/plan_parser.hpp"

#include <string>
#include <utility>

namespace cornelpier {

namespace {

/// Limit of the recorded refusals and of the recorded conflicts. A faulty source repeats only a few contents.
constexpr std::size_t max_recorded_contents = 16;

checked_result<shared_plan> parse_shared_plan(std::string_view sheet) {
    auto outcome = parse_plan(sheet);
    if (auto* errors = std::get_if<std::vector<error>>(&outcome)) {
        return std::move(*errors);
    }
    return std::make_shared<const plan>(std::get<plan>(std::move(outcome)));
}

std::string padded_hexadecimal(std::uint64_t value) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text(16, '0');
    for (auto it = text.rbegin(); it != text.rend(); ++it, value >>= 4U) {
        *it = digits[value & 0xfU];
    }
    return text;
}

event_record accepted_event(const plan& accepted, std::string_view source) {
    return {event_number::plan_accepted,
            {{"version", std::to_string(accepted.version)},
             {"content", padded_hexadecimal(accepted.content_hash)},
             {"source", std::string{source}}}};
}

event_record too_large_event(std::size_t size, std::string_view source) {
    return {event_number::plan_refused_too_large,
            {{"bytes", std::to_string(size)},
             {"limit", std::to_string(max_plan_bytes)},
             {"source", std::string{source}}}};
}

event_record invalid_event(const std::vector<error>& errors, std::string_view source) {
    return {event_number::plan_refused_invalid,
            {{"place", errors.front().place},
             {"reason", errors.front().reason},
             {"mistakes", std::to_string(errors.size())},
             {"source", std::string{source}}}};
}

event_record older_event(std::uint64_t version, std::uint64_t in_force, std::string_view source) {
    return {event_number::plan_refused_older,
            {{"version", std::to_string(version)},
             {"in_force", std::to_string(in_force)},
             {"source", std::string{source}}}};
}

} // namespace

plan_outcome outcome_of(std::uint64_t version, std::uint64_t in_force, bool same_content) {
    if (version != in_force) {
        return version > in_force ? plan_outcome::accepted : plan_outcome::older;
    }
    return same_content ? plan_outcome::unchanged : plan_outcome::conflict;
}

plan_manager::plan_manager(plan_parse_function parse) : m_parse(std::move(parse)) {
    if (!m_parse) {
        m_parse = parse_shared_plan;
    }
}

plan_digest plan_manager::digest() const {
    return m_current ? plan_digest{m_current->version, m_current->content_hash} : plan_digest{};
}

plan_decision plan_manager::offer(std::string_view sheet, std::string_view source) {
    if (sheet.size() > max_plan_bytes) {
        return {plan_outcome::too_large, too_large_event(sheet.size(), source)};
    }

    const std::uint64_t content_hash = stable_hash(sheet);
    if (m_current && m_current->content_hash == content_hash && m_current->sheet == sheet) {
        return {plan_outcome::unchanged, std::nullopt};
    }
    if (const auto it = m_refused.find(content_hash); it != m_refused.end()) {
        if (it->second.outcome == plan_outcome::conflict) {
            return {plan_outcome::conflict, std::nullopt};
        }
        return {it->second.outcome, it->second.event};
    }

    const auto parsed = m_parse(sheet);
    if (const auto* errors = std::get_if<std::vector<error>>(&parsed)) {
        return refuse(content_hash, {plan_outcome::invalid, invalid_event(*errors, source)});
    }
    return apply_if_newer(std::get<shared_plan>(parsed), source);
}

plan_decision plan_manager::apply_if_newer(const shared_plan& candidate, std::string_view source) {
    const std::uint64_t in_force = digest().version;
    // The same content was recognized before it was parsed.
    const plan_outcome outcome = outcome_of(candidate->version, in_force, false);
    if (outcome == plan_outcome::older) {
        return refuse(candidate->content_hash,
                      {plan_outcome::older, older_event(candidate->version, in_force, source)});
    }
    if (m_current && outcome == plan_outcome::conflict) {
        auto event = record_conflict({candidate->version, candidate->content_hash}, source);
        refuse(candidate->content_hash, {plan_outcome::conflict, {}});
        return {plan_outcome::conflict, std::move(event)};
    }

    m_current = candidate;
    m_conflicts.clear();
    m_refused.clear();
    return {plan_outcome::accepted, accepted_event(*candidate, source)};
}

plan_decision plan_manager::refuse(std::uint64_t content_hash, refusal_record refusal) {
    if (m_refused.size() == max_recorded_contents) {
        m_refused.clear();
    }
    plan_decision decision{refusal.outcome, refusal.event};
    m_refused.insert_or_assign(content_hash, std::move(refusal));
    return decision;
}

std::optional<event_record> plan_manager::compare(const plan_digest& digest, std::string_view source) {
    if (!m_current || digest.version != m_current->version ||
        digest.content_hash == m_current->content_hash) {
        return std::nullopt;
    }
    return record_conflict(digest, source);
}

std::optional<event_record> plan_manager::record_conflict(const plan_digest& digest,
                                                          std::string_view source) {
    if (m_conflicts.size() == max_recorded_contents || !m_conflicts.insert(digest.content_hash).second) {
        return std::nullopt;
    }
    return event_record{event_number::plan_refused_conflict,
                        {{"version", std::to_string(digest.version)},
                         {"content", padded_hexadecimal(digest.content_hash)},
                         {"in_force", padded_hexadecimal(m_current->content_hash)},
                         {"source", std::string{source}}}};
}

} // namespace cornelpier
