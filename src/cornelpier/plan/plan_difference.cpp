#include "cornelpier/plan/plan_difference.hpp"

#include "cornelpier/plan/entry_pairing.hpp"
#include "cornelpier/plan/entry_values.hpp"
#include "cornelpier/plan/plan_manager.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace cornelpier {

namespace {

std::vector<plan_entry> route_entries(const plan_document& document) {
    std::vector<plan_entry> entries;
    std::ranges::transform(document.routes, std::back_inserter(entries), [](const route& it) {
        return plan_entry{it.name, match_of(it), values_of(it)};
    });
    return entries;
}

std::vector<plan_entry> service_entries(const plan_document& document) {
    std::vector<plan_entry> entries;
    for (std::size_t n = 0; n < document.content.services.size(); ++n) {
        entries.push_back({document.content.services[n].id.value(), "", document.service_values[n]});
    }
    return entries;
}

std::vector<plan_entry> target_entries(const plan_document& document) {
    std::vector<plan_entry> entries;
    for (const auto& service : document.content.services) {
        for (const auto& it : service.targets) {
            // Two targets of one service are never the same entry, so that only the name pairs them.
            entries.push_back({it.id.value(), service.id.value() + '\n' + it.id.value(), values_of(it)});
        }
    }
    return entries;
}

std::vector<plan_entry> limit_entries(const plan_document& document) {
    const auto& limits = document.content.limits;
    return limits ? std::vector<plan_entry>{{"limits", "", values_of(*limits)}} : std::vector<plan_entry>{};
}

std::vector<plan_entry> evacuation_entries(const plan_document& document) {
    std::vector<plan_entry> entries;
    std::ranges::transform(document.content.evacuated_data_centres, std::back_inserter(entries),
                           [](const data_centre_id& it) {
                               return plan_entry{it.value(), "", {{"evacuated", "yes"}}};
                           });
    return entries;
}

std::vector<plan_entry> rule_entries(const service_plan* service) {
    std::vector<plan_entry> entries;
    if (service == nullptr) {
        return entries;
    }
    std::ranges::transform(service->rules, std::back_inserter(entries), [&](const request_rule& it) {
        return plan_entry{service->id.value() + ' ' + it.method + ' ' + it.path_prefix, "", values_of(it)};
    });
    return entries;
}

/// Part of a match that is shown: host and path prefix, or the service of a target.
std::string shown(const std::string& match) {
    return match.substr(0, match.find('\n'));
}

/// Compares the entries of one kind.
class entry_comparison {
  public:
    entry_comparison(std::string kind, const std::vector<plan_entry>& before,
                     const std::vector<plan_entry>& after)
        : m_kind(std::move(kind)), m_before(before), m_after(after), m_pairing(pair_entries(before, after)) {}

    /// @param is_ordered whether the order of the entries has an effect.
    std::vector<plan_change> run(bool is_ordered) {
        for (const std::size_t n : m_pairing.removed) {
            add(change_kind::removed, m_before[n].name, describe(m_before[n]));
        }
        for (const std::size_t n : m_pairing.added) {
            add(change_kind::added, m_after[n].name, describe(m_after[n]));
        }
        for (const auto& [before, after] : m_pairing.pairs) {
            compare(m_before[before], m_after[after]);
        }
        if (is_ordered) {
            add_order_changes();
        }
        return std::move(m_changes);
    }

  private:
    static std::string describe(const plan_entry& entry) {
        const std::string match = shown(entry.match);
        return (match.empty() ? "" : match + ", ") + join_values(entry.values);
    }

    void compare(const plan_entry& before, const plan_entry& after) {
        if (before.match != after.match) {
            add(change_kind::moved, after.name, shown(before.match) + " -> " + shown(after.match));
        }
        value_list old_values = before.values;
        value_list new_values = after.values;
        old_values.emplace_back("name", before.name);
        new_values.emplace_back("name", after.name);
        auto text = join_differences(old_values, new_values);
        if (!text.empty()) {
            add(change_kind::changed, after.name, std::move(text));
        }
    }

    /// Positions are counted among the entries of both versions, so that added and removed ones do not shift
    /// the others.
    void add_order_changes() {
        std::vector<std::size_t> order;
        std::ranges::transform(m_pairing.pairs, std::back_inserter(order),
                               [](const auto& it) { return it.first; });
        std::vector<std::size_t> sorted = order;
        std::ranges::sort(sorted);
        for (const std::size_t n : moved_positions(order)) {
            const auto before = std::ranges::lower_bound(sorted, order[n]) - sorted.begin();
            add(change_kind::moved, m_after[m_pairing.pairs[n].second].name,
                "position " + std::to_string(before) + " -> " + std::to_string(n) +
                    " among those of both versions");
        }
    }

    void add(change_kind kind, std::string name, std::string text) {
        m_changes.push_back({kind, m_kind, std::move(name), std::move(text)});
    }

    std::string m_kind;
    const std::vector<plan_entry>& m_before;
    const std::vector<plan_entry>& m_after;
    entry_pairing m_pairing;
    std::vector<plan_change> m_changes;
};

void append_changes(std::vector<plan_change>& changes, const std::string& kind,
                    const std::vector<plan_entry>& before, const std::vector<plan_entry>& after,
                    bool is_ordered = false) {
    std::ranges::move(entry_comparison{kind, before, after}.run(is_ordered), std::back_inserter(changes));
}

/// Rules belong to a service, so that those of an added or removed service are not listed.
void append_rule_changes(std::vector<plan_change>& changes, const plan& before, const plan& after) {
    for (const auto& service : after.services) {
        if (const service_plan* old_service = before.find_service(service.id)) {
            append_changes(changes, "rule", rule_entries(old_service), rule_entries(&service), true);
        }
    }
}

} // namespace

std::string_view to_string(change_kind kind) {
    constexpr std::array<std::string_view, 4> names{"added", "removed", "moved", "changed"};
    return names.at(static_cast<std::size_t>(kind));
}

std::vector<plan_change> difference(const plan_document& in_force, const plan_document& candidate) {
    std::vector<plan_change> changes;
    append_changes(changes, "route", route_entries(in_force), route_entries(candidate));
    append_changes(changes, "service", service_entries(in_force), service_entries(candidate));
    append_rule_changes(changes, in_force.content, candidate.content);
    append_changes(changes, "target", target_entries(in_force), target_entries(candidate));
    append_changes(changes, "evacuation", evacuation_entries(in_force), evacuation_entries(candidate));
    append_changes(changes, "limits", limit_entries(in_force), limit_entries(candidate));
    return changes;
}

std::optional<plan_finding> refusal_of(const plan_document& in_force, const plan_document& candidate) {
    const plan& before = in_force.content;
    const plan& after = candidate.content;
    const std::string versions =
        "version " + std::to_string(after.version) + " is " +
        (after.version == before.version ? "in force with other content; nodes refuse it as conflicting"
                                         : "below version " + std::to_string(before.version) +
                                               ", which is in force; nodes refuse it as older");
    switch (outcome_of(after.version, before.version, after.sheet == before.sheet)) {
    case plan_outcome::older:
        return plan_finding{finding_kind::older_version, "/version", versions};
    case plan_outcome::conflict:
        return plan_finding{finding_kind::conflicting_version, "/version", versions};
    default:
        return std::nullopt;
    }
}

} // namespace cornelpier
