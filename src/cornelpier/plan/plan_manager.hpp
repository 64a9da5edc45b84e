#pragma once

#include "cornelpier/base/event_record.hpp"
#include "cornelpier/base/result.hpp"
#include "cornelpier/message/control_messages.hpp"
#include "cornelpier/plan/plan.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace cornelpier {

using shared_plan = std::shared_ptr<const plan>;

/// Parses a plan sheet. Replaceable, so that a process with several cores can share parsed plans.
using plan_parse_function = std::function<checked_result<shared_plan>(std::string_view)>;

/// Result of submitting a plan sheet.
enum class plan_outcome : std::uint8_t { accepted, unchanged, older, conflict, invalid, too_large };

/// The rule by which a plan replaces the one in force: a higher version does; the same version with other
/// content is a conflict.
/// @param in_force version in force; 0: none.
/// @param same_content whether the plan has the content of the one in force.
/// @return `accepted`, `unchanged`, `older` or `conflict`.
plan_outcome outcome_of(std::uint64_t version, std::uint64_t in_force, bool same_content);

/// Result of submitting a plan sheet, with the event to log, if any.
struct plan_decision {
    plan_outcome outcome = plan_outcome::unchanged;
    std::optional<event_record> event;
};

/// Owns the plan in force, which only a valid plan of a higher version replaces.
class plan_manager {
  public:
    /// @param parse parses sheets; if empty, `parse_plan` is used.
    explicit plan_manager(plan_parse_function parse = {});

    /// Validates a plan sheet and brings it into force if its version is higher.
    /// @param sheet untrusted text.
    /// @param source name of the source, used in events.
    plan_decision offer(std::string_view sheet, std::string_view source);

    /// Detects whether a peer has a plan of the same version with other content.
    /// @return the event to log if this content was not reported before.
    std::optional<event_record> compare(const plan_digest& digest, std::string_view source);

    /// @return the plan in force, or nullptr.
    [[nodiscard]] const shared_plan& current() const { return m_current; }

    /// @return the digest of the plan in force; version 0 if there is none.
    [[nodiscard]] plan_digest digest() const;

    /// @return true if a plan of the version in force with other content was seen.
    [[nodiscard]] bool conflict() const { return !m_conflicts.empty(); }

    /// @return true if a sheet with this content hash was refused since the plan came into force.
    [[nodiscard]] bool was_refused(std::uint64_t content_hash) const {
        return m_refused.contains(content_hash);
    }

  private:
    struct refusal_record {
        plan_outcome outcome = plan_outcome::invalid;
        event_record event;
    };

    plan_decision apply_if_newer(const shared_plan& candidate, std::string_view source);
    plan_decision refuse(std::uint64_t content_hash, refusal_record refusal);
    std::optional<event_record> record_conflict(const plan_digest& digest, std::string_view source);

    plan_parse_function m_parse;
    shared_plan m_current;
    std::unordered_set<std::uint64_t> m_conflicts;               ///< Content hashes.
    std::unordered_map<std::uint64_t, refusal_record> m_refused; ///< By content hash; avoids reparsing.
};

} // namespace cornelpier
